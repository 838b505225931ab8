#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/serving_request.h"
#include "bulrushstack/serving/upstream_directory.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushstack {

/// Load that an upstream reports with a response.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Time that work takes on the upstream's machine at this moment, as a multiple of the usual time; empty if the
    /// upstream does not state it.
    std::optional<double> slowdown;

    friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// Properties of a request that was sent to an upstream.
struct SentRequest {
    SteadyTime sent {};
    unsigned urgency = 0; ///< Urgency sent to the upstream; it admits lower values first.
    /// Prompt tokens that the upstream is expected to process, that is, those not in its cache.
    double prefillTokens = 0;
    std::chrono::nanoseconds prefillTime {}; ///< Time that an idle upstream takes to process these tokens.

    friend bool operator==(const SentRequest&, const SentRequest&) = default;
};

/// Outcome of an attempt, as far as it says something about the upstream.
enum class AttemptOutcome {
    Served,
    Failed, ///< The upstream returned an error or an unusable response, or did not respond.
    Refused, ///< The upstream stated that it did not run the request.
    Unreachable, ///< The connection failed.
    Abandoned, ///< The caller disconnected or the deadline passed before the upstream finished.
};

/// Load and failures of one upstream as seen by this instance.
struct UpstreamLoad {
    unsigned inFlight = 0; ///< Requests of this instance in flight.
    double prefillBacklog = 0; ///< Prompt tokens of requests of this instance that have no first response yet.
    /// Requests without a first response: their urgency, and the time when an idle upstream would have processed their
    /// prompt.
    std::multiset<std::pair<unsigned, SteadyTime>> unanswered;
    /// Latest such time among the requests with a first response, by urgency.
    std::map<unsigned, SteadyTime> answered;
    ReportedLoad reported; ///< Load that the upstream last reported.
    unsigned inFlightWhenReported = 0; ///< Requests of this instance that are included in `reported`.
    std::optional<SteadyTime> reportedAt;
    double failureShare = 0; ///< Share of recent attempts that failed, 0 to 1.
    std::optional<SteadyTime> failureAt;
    /// End of the time in which the upstream is avoided after a refusal or a failed connection.
    std::optional<SteadyTime> avoidUntil;
    std::optional<SteadyTime> unreachableAt; ///< Time of the last failed connection.
};

/// Tracks load and failures of the upstreams as seen by this instance. Performs no I/O.
class UpstreamLoads {
    struct Record;

public:
    explicit UpstreamLoads(const Clock& clock);

    /// A request at an upstream. It counts towards the load of the upstream until release() is called or the scope is
    /// destroyed. A scope may outlive the UpstreamLoads.
    class RequestScope {
    public:
        RequestScope() = default;
        ~RequestScope() { release(); }

        RequestScope(RequestScope&& other) noexcept;
        RequestScope& operator=(RequestScope&& other) noexcept;
        RequestScope(const RequestScope&) = delete;
        RequestScope& operator=(const RequestScope&) = delete;

        /// Records that the upstream has finished with the request.
        void release();

    private:
        friend class UpstreamLoads;
        RequestScope(std::shared_ptr<Record> record, std::string id, std::uint64_t number);

        std::shared_ptr<Record> m_record; ///< null after release()
        std::string m_id;
        std::uint64_t m_number = 0; ///< key in Record::open
        bool m_hasFirstResponse = false;
    };

    /// Records that a request was sent.
    RequestScope begin(const std::string& id, const SentRequest& request);

    /// Records the first event, or the whole response, of a request.
    void recordFirstResponse(RequestScope& request, std::optional<ReportedLoad> reported);

    /// Records how the attempt of a request ended, and that the upstream has finished with it.
    void recordOutcome(RequestScope& request, AttemptOutcome outcome);

    /// Drops requests that were sent longer ago than this and whose end was never recorded, which would count as load
    /// for ever. Returns how many there were.
    std::size_t dropStuck(std::chrono::nanoseconds age);

    /// The same as begin() without a scope: each call must be followed by one recordEnd() with the same request.
    void recordStart(const std::string& id, const SentRequest& request);

    /// Records the first event, or the whole response, of a request given to recordStart().
    void recordFirstResponse(const std::string& id, const SentRequest& request, std::optional<ReportedLoad> reported);

    /// Records the load that a response reports whose request was refused.
    void recordReport(const std::string& id, ReportedLoad reported);

    /// Records the end of an attempt. `hadFirstResponse` is whether recordFirstResponse() was called for it.
    void recordEnd(const std::string& id, const SentRequest& request, bool hadFirstResponse, AttemptOutcome outcome);

    /// Returns the queueing delay of the upstream: for the oldest request of this instance without a first response,
    /// the time since an idle upstream would have processed its prompt. Only requests count that the upstream admits
    /// before or together with a request of the given urgency. A request that was overtaken by a later one of the same
    /// or a lower urgency does not count, since its response is probably lost rather than late. Zero if no request
    /// counts.
    std::chrono::nanoseconds queueingDelay(const std::string& id, unsigned urgency) const;

    /// Records that the upstream has processed a prompt with this prefix, so that the prefix is now in its cache.
    void recordPrefix(const std::string& id, const std::string& key);

    /// Returns whether the upstream has recently processed this prefix for this instance.
    bool hasPrefix(const std::string& id, const std::string& key) const;

    /// Returns the number of requests of this instance at the upstream.
    unsigned inFlight(const std::string& id) const;

    /// Returns the estimated number of requests at the upstream, including those of other instances.
    double estimatedRequests(const std::string& id) const;

    /// Returns the share of recent attempts that failed, 0 to 1, decayed since the last attempt.
    double failureShare(const std::string& id) const;

    /// Returns the upstreams to which a connection failed within the given time.
    std::vector<std::string> unreachable(std::chrono::nanoseconds within) const;

    /// Returns whether the upstream is avoided for now after a refusal or a failed connection.
    bool isAvoided(const std::string& id) const;
    /// Returns the prompt tokens of this instance that the upstream still has to process.
    double prefillBacklog(const std::string& id) const;

    /// Removes upstreams that are not in the directory and have no requests in flight.
    void retain(const UpstreamDirectory& directory);

private:
    struct OpenRequest {
        SentRequest request;
        bool hasFirstResponse = false;
    };

    struct Record {
        UpstreamLoad load;
        std::map<std::uint64_t, OpenRequest> open; ///< requests with a scope
        std::map<std::string, SteadyTime> prefixes; ///< Time of the last use, by prefix key.
    };

    const UpstreamLoad* find(const std::string& id) const;
    const std::shared_ptr<Record>& recordOf(const std::string& id);
    void recordOutcome(const std::string& id, bool hadFirstResponse, AttemptOutcome outcome);
    static void removeWaiting(UpstreamLoad& load, const SentRequest& request);
    static void removeInFlight(UpstreamLoad& load, const SentRequest& request, bool hadFirstResponse);

    static void close(Record& record, std::uint64_t number);

    const Clock& m_clock;
    std::uint64_t m_requestCount = 0;
    std::map<std::string, std::shared_ptr<Record>> m_records;
};

} // namespace bulrushstack
