#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/verdict.h"

#include <optional>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace bulrushstack::detail {

/// One request at its end, as logged and counted. Holds no content and no tokens.
struct RequestRecord {
    std::string requestId;
    std::string team; ///< name from the configuration; empty if the request was refused before it was known
    std::string kind; ///< "models", "completion", "chat", "service" or "other"
    std::optional<Urgency> urgency;
    SteadyTime begin {};
    SteadyTime end {};
    SteadyTime deadline = SteadyTime::max();
    unsigned status = 0;
    Verdict verdict = Verdict::NotRun;
    unsigned attempts = 0;
    unsigned resumes = 0;
    bool hasProblem = false; ///< the caller got a problem document or an error event
    bool isCallerGone = false;
    std::optional<SteadyTime> firstTokenTime;
};

/// Counts requests. Labels come from the configuration or are fixed, never from callers.
class CallerMetrics {
public:
    explicit CallerMetrics(prometheus::Registry& registry);

    void requestBegan() { m_inFlight.Increment(); }
    void requestEnded(const RequestRecord& record);

private:
    void countDeadline(const RequestRecord& record, const std::string& urgency);

    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_deadlines;
    prometheus::Family<prometheus::Counter>& m_verdicts;
    prometheus::Family<prometheus::Histogram>& m_timeToFirstToken;
    prometheus::Family<prometheus::Histogram>& m_duration;
    prometheus::Counter& m_retries;
    prometheus::Counter& m_resumes;
    prometheus::Gauge& m_inFlight;
};

/// Writes the log line of a request.
void logRequest(const RequestRecord& record);

} // namespace bulrushstack::detail
