#pragma once

#include "samples.h"
#include "schedule.h"

#include <map>
#include <optional>

namespace bulrushstack::load {

/// Outcome of one request. Latencies are measured from the planned send time, so that a delay of the generator under
/// slow responses does not hide latency (coordinated omission).
struct RequestOutcome {
    std::string status; ///< HTTP status, or a description of the failure
    std::string verdict; ///< from the header Bulrush-Verdict or the client-side failure; "unstated" without either
    bool isAnswered = false; ///< the response is complete and has a 2xx status
    std::chrono::nanoseconds lateness {}; ///< actual minus planned send time
    std::chrono::nanoseconds latency {}; ///< from the planned send time to the end of the response
    std::optional<std::chrono::nanoseconds> firstToken; ///< time to the first data event of a stream
};

/// Counters and latency samples of a group of requests.
struct OutcomeGroup {
    std::uint64_t requests = 0;
    std::uint64_t deadlineMet = 0;
    std::uint64_t deadlineMissed = 0;
    std::map<std::string, std::uint64_t> byStatus;
    std::map<std::string, std::uint64_t> byVerdict;
    Samples latency; ///< latencies of answered requests
    Samples firstToken;

    void add(const RequestOutcome& outcome, std::chrono::nanoseconds deadline);
    nlohmann::json toJson() const;
};

/// Aggregated results of a run. The experiment must outlive the summary.
class LoadSummary {
public:
    explicit LoadSummary(const Experiment& experiment);

    void add(const PlannedRequest& planned, const RequestOutcome& outcome);
    void addSkipped() { ++m_skipped; }

    std::uint64_t skipped() const { return m_skipped; }
    const OutcomeGroup& total() const { return m_total; }

    /// Returns the result document. `elapsed` is the time from the start of the run to the end of its last request.
    nlohmann::json toJson(std::chrono::nanoseconds elapsed) const;

private:
    using Groups = std::map<std::string, OutcomeGroup>;
    static nlohmann::json toJson(const Groups& groups);

    const Experiment& m_experiment;
    OutcomeGroup m_total;
    Groups m_byClass;
    Groups m_byRequest;
    Groups m_byPhase;
    Groups m_byTeam;
    Samples m_lateness;
    std::uint64_t m_skipped = 0;
};

} // namespace bulrushstack::load
