#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/serving_request.h"
#include "bulrushstack/serving/upstream_directory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushstack {

/// Load that an upstream states with an answer.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;

    friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// A request as it was sent to an upstream.
struct SentRequest {
    SteadyTime sent {};
    unsigned urgency = 0; ///< as the upstream was told: 0 is admitted first
    double prefillTokens = 0; ///< prompt tokens that the upstream is expected to read
    std::chrono::nanoseconds prefillTime {}; ///< that an idle upstream takes for them

    friend bool operator==(const SentRequest&, const SentRequest&) = default;
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
    /// Requests without a first answer: urgency, and when an idle upstream would have read them.
    std::multiset<std::pair<unsigned, SteadyTime>> unanswered;
    std::map<unsigned, SteadyTime> answered; ///< by urgency, the latest of such times among answered requests
    ReportedLoad reported;
    unsigned inFlightWhenReported = 0; ///< requests of this instance, counted in `stated`
    std::optional<SteadyTime> reportedAt;
    double failureShare = 0; ///< recent attempts that failed, 0 to 1
    std::optional<SteadyTime> failureAt;
    std::optional<SteadyTime> avoidUntil; ///< refused or unreachable
    std::optional<SteadyTime> unreachableAt; ///< when the last connection failed
};

/// Load and failures of the upstreams as this instance sees them; no I/O.
class UpstreamLoads {
public:
    explicit UpstreamLoads(const Clock& clock);

    void recordStart(const std::string& id, const SentRequest& request);

    /// Notes the first event or the whole answer of a request that was given to begin().
    void recordFirstResponse(const std::string& id, const SentRequest& request, std::optional<ReportedLoad> reported);

    /// Each begin() is followed by one end().
    void recordEnd(const std::string& id, const SentRequest& request, bool hadFirstResponse, AttemptOutcome outcome);

    /// Returns by how much the upstream is behind with the oldest request of this instance that has no first answer:
    /// the time since an idle upstream would have read its prompt. Only requests count that it admits before or beside
    /// one of the given urgency. One that a later request of the same or a lower urgency has overtaken does not count:
    /// its answer is lost rather than late. Zero if no request counts.
    std::chrono::nanoseconds queueingDelay(const std::string& id, unsigned urgency) const;

    /// Notes that requests with this prefix were read by the upstream, so that it holds the parts now.
    void recordPrefix(const std::string& id, const std::string& key);

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
    void retain(const UpstreamDirectory& directory);

private:
    struct Record {
        UpstreamLoad load;
        std::map<std::string, SteadyTime> prefixes; ///< by key, when last read
    };

    const UpstreamLoad* find(const std::string& id) const;
    static void removeWaiting(UpstreamLoad& load, const SentRequest& request);

    const Clock& m_clock;
    std::map<std::string, Record> m_records;
};

} // namespace bulrushstack
