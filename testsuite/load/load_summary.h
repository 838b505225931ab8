#pragma once

#include "samples.h"
#include "schedule.h"

#include <map>
#include <optional>

namespace bulrushstack::load {

/// How one request ended. Times are measured from when it was to be sent, so that a generator that is held up by slow
/// answers does not hide their latency (coordinated omission).
struct RequestOutcome {
    std::string status; ///< the HTTP status, or what went wrong
    std::string verdict; ///< of the header Bulrush-Verdict or of the failure; "unstated" without either
    bool isAnswered = false; ///< a complete answer with a status of 2xx
    std::chrono::nanoseconds lateness {}; ///< of the generator itself
    std::chrono::nanoseconds latency {};
    std::optional<std::chrono::nanoseconds> firstToken; ///< of streams
};

/// Counts and times of a group of requests.
struct OutcomeGroup {
    std::uint64_t requests = 0;
    std::uint64_t deadlineMet = 0;
    std::uint64_t deadlineMissed = 0;
    std::map<std::string, std::uint64_t> byStatus;
    std::map<std::string, std::uint64_t> byVerdict;
    Samples latency; ///< of answered requests
    Samples firstToken;

    void add(const RequestOutcome& outcome, std::chrono::nanoseconds deadline);
    nlohmann::json toJson() const;
};

/// The result of a run.
class LoadSummary {
public:
    explicit LoadSummary(const Experiment& experiment);

    void add(const PlannedRequest& planned, const RequestOutcome& outcome);
    void addSkipped() { ++m_skipped; }

    std::uint64_t skipped() const { return m_skipped; }
    const OutcomeGroup& total() const { return m_total; }

    /// Returns the result document. `elapsed` is the time from the start to the last answer.
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
