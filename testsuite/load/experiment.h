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

std::string_view toString(RequestKind kind); ///< "chat", "stream", "service-read" or "service-post"

struct TeamSpec {
    std::string name;
    std::string token;
    double weight = 1;
};

/// A part of the experiment with one arrival rate.
struct PhaseSpec {
    std::string name;
    std::chrono::nanoseconds duration {};
    double rate = 0; ///< arrivals per second
    bool isPoisson = true; ///< else at equal distances
};

/// One kind of request of the mix.
struct RequestSpec {
    std::string name;
    RequestKind kind = RequestKind::Chat;
    double weight = 1;
    std::string urgency; ///< "live", "interactive" or "batch"; empty: not sent
    std::chrono::nanoseconds deadline {}; ///< zero: not sent, every complete answer counts as in time
    std::string model; ///< of chat and stream
    unsigned maxTokens = 16;
    unsigned promptWords = 32;
    double promptReuseProbability = 0; ///< probability that the prompt begins like an earlier one of the same team
    double repeatProbability = 0; ///< probability that the request is sent again, unchanged, within a second
    std::string path; ///< of service requests, for example "/services/cue-board/cues/1"
    std::string body; ///< of service posts

    /// Returns the class by which deadlines are counted: the urgency, or the kind if there is none.
    std::string className() const;
};

struct Experiment {
    std::uint64_t seed = 1;
    std::vector<Address> targets; ///< loopback only; each request goes to a random one
    std::vector<TeamSpec> teams;
    std::vector<PhaseSpec> phases;
    std::vector<RequestSpec> requests;
    unsigned repeats = 1; ///< how often all phases run, one after the other
    std::chrono::nanoseconds timeout = std::chrono::seconds(30); ///< for one request, from when it is sent
    std::size_t inFlightLimit = 2000; ///< arrivals beyond it are counted as skipped
};

/// Returns the experiment. Throws std::runtime_error that names the wrong member.
Experiment parseExperiment(const nlohmann::json& document);

} // namespace bulrushstack::load
