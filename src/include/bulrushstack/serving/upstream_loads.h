#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/serving_request.h"
#include "bulrushstack/serving/upstream_directory.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Load that an upstream states with an answer.
struct StatedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;

    friend bool operator==(const StatedLoad&, const StatedLoad&) = default;
};

/// How an attempt ended, as far as it tells something about the upstream.
enum class AttemptOutcome {
    Served,
    Failed, ///< an error of the upstream, a broken or unusable answer, or silence
    Refused, ///< the upstream stated that it did not run the request
    Unreachable, ///< no connection
    Abandoned, ///< the caller left or the time ran out while the upstream was at work
};

/// What this instance has seen of one upstream.
struct UpstreamLoad {
    unsigned inFlight = 0; ///< requests of this instance
    double prefillBacklog = 0; ///< prompt tokens of this instance that have not brought a first event yet
    StatedLoad stated;
    unsigned inFlightWhenStated = 0; ///< requests of this instance, counted in `stated`
    std::optional<SteadyTime> statedAt;
    double failureShare = 0; ///< recent attempts that failed, 0 to 1
    std::optional<SteadyTime> failureAt;
    std::optional<SteadyTime> avoidUntil; ///< refused or unreachable
    std::optional<SteadyTime> unreachableAt; ///< when the last connection failed
};

/// Load and failures of the upstreams as this instance sees them; no I/O.
class UpstreamLoads {
public:
    explicit UpstreamLoads(const Clock& clock);

    void begin(const std::string& id, double prefillTokens);

    /// Notes the first event or the whole answer; `prefillTokens` is the value given to begin().
    void noteFirstAnswer(const std::string& id, double prefillTokens, std::optional<StatedLoad> stated);

    /// Each begin() is followed by one end().
    void end(const std::string& id, double prefillTokens, bool hadFirstAnswer, AttemptOutcome outcome);

    /// Notes that requests with this prefix were read by the upstream, so that it holds the parts now.
    void notePrefix(const std::string& id, const std::string& key);

    /// Returns whether the upstream has read the prefix recently on behalf of this instance.
    bool hasPrefix(const std::string& id, const std::string& key) const;

    /// Returns the estimated number of requests at the upstream, those of other instances included.
    double estimatedRequests(const std::string& id) const;

    /// Returns the share of recent attempts that failed, fading with time.
    double failureShare(const std::string& id) const;

    /// Returns the upstreams to which a connection failed within the given time.
    std::vector<std::string> unreachable(std::chrono::nanoseconds within) const;

    bool isAvoided(const std::string& id) const;
    double prefillBacklog(const std::string& id) const;

    /// Forgets upstreams that are not in the directory and have nothing under way.
    void retain(const ServingDirectory& directory);

private:
    struct Record {
        UpstreamLoad load;
        std::map<std::string, SteadyTime> prefixes; ///< by key, when last read
    };

    const UpstreamLoad* find(const std::string& id) const;

    const Clock& m_clock;
    std::map<std::string, Record> m_records;
};

} // namespace bulrushstack
