#pragma once

#include "bulrushstack/kernel/settings.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack::load {

enum class RequestKind {
    Chat,
    Stream,
    ServiceRead,
    ServicePost,
};

std::string_view toString(RequestKind kind); ///< returns "chat", "stream", "service-read" or "service-post"

struct TeamSpec {
    std::string name;
    std::string token;
    double weight = 1;
};

/// Phase of an experiment with a constant arrival rate.
struct PhaseSpec {
    std::string name;
    std::chrono::nanoseconds duration {};
    double rate = 0; ///< mean number of arrivals per second
    bool isPoisson = true; ///< Poisson arrivals; otherwise arrivals at equal intervals
};

/// One kind of request in the generated mix.
struct RequestSpec {
    std::string name;
    RequestKind kind = RequestKind::Chat;
    double weight = 1;
    std::string urgency; ///< "live", "interactive" or "batch"; empty: the header is not sent
    std::chrono::nanoseconds deadline {}; ///< zero: no deadline is sent and every complete response counts as in time
    std::string model; ///< model of chat and stream requests
    unsigned maxTokens = 16;
    unsigned promptWords = 32;
    double promptReuseProbability = 0; ///< probability that the prompt begins like an earlier one of the team
    double repeatProbability = 0; ///< probability that the request is sent again, unchanged, within a second
    std::string path; ///< path of service requests, for example "/services/cue-board/cues/1"
    std::string body; ///< body of service-post requests

    /// Returns the class that results are grouped by: the urgency, or the kind of request if there is none.
    std::string className() const;
};

struct Experiment {
    std::uint64_t seed = 1;
    std::vector<Address> targets; ///< loopback addresses; each request is sent to a random one
    std::vector<TeamSpec> teams;
    std::vector<PhaseSpec> phases;
    std::vector<RequestSpec> requests;
    unsigned repeats = 1; ///< number of times that the whole sequence of phases runs
    std::chrono::nanoseconds timeout = std::chrono::seconds(30); ///< per request, from its actual send time
    std::size_t inFlightLimit = 2000; ///< maximum of concurrent requests; arrivals beyond it are skipped
};

/// Parses an experiment document. Throws std::runtime_error that names the member if one is invalid.
Experiment parseExperiment(const nlohmann::json& document);

} // namespace bulrushstack::load
