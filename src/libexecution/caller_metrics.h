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

/// A finished request as recorded in log and metrics. Contains neither prompts and responses nor bearer tokens.
struct RequestRecord {
    std::string requestId;
    std::string team; ///< name from the configuration; empty if the request was refused before authentication
    std::string kind; ///< "models", "completion", "chat", "service" or "other"
    std::optional<Urgency> urgency;
    SteadyTime begin {};
    SteadyTime end {};
    SteadyTime deadline = SteadyTime::max();
    unsigned status = 0;
    Verdict verdict = Verdict::NotRun;
    unsigned attempts = 0;
    unsigned resumes = 0;
    bool hasProblem = false; ///< the caller received a problem document or an error event
    bool isCallerGone = false; ///< the caller disconnected before the end of the response
    std::optional<SteadyTime> firstTokenTime;
};

/// Prometheus metrics of requests from callers. Label values are fixed or come from the configuration, never from the
/// request, so that callers cannot increase the number of time series.
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

/// Writes the log line "event=request" of a finished request.
void logRequest(const RequestRecord& record);

} // namespace bulrushstack::detail
