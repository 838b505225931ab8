#include "caller_metrics.h"

#include <glog/logging.h>

namespace bulrushstack::detail {

namespace {

/// Bucket boundaries in seconds. One is at 1.6 s, the target for the 95th percentile of the time to first token.
const prometheus::Histogram::BucketBoundaries& latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries bounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
        12.8, 30, 60, 300 };
    return bounds;
}

double secondsBetween(SteadyTime begin, SteadyTime end) { return std::chrono::duration<double>(end - begin).count(); }

std::string statusClass(unsigned status) { return status == 0 ? "none" : std::to_string(status / 100) + "xx"; }

prometheus::Family<prometheus::Counter>& counterFamily(
    prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& histogramFamily(
    prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

CallerMetrics::CallerMetrics(prometheus::Registry& registry)
    : m_requests(
        counterFamily(registry, "bulrush_requests_total", "requests of callers by team, urgency and status class"))
    , m_deadlines(counterFamily(registry, "bulrush_deadlines_total", "requests by whether they met their deadline"))
    , m_verdicts(counterFamily(registry, "bulrush_verdicts_total", "requests by verdict"))
    , m_timeToFirstToken(
          histogramFamily(registry, "bulrush_time_to_first_token_seconds", "time from the request to the first token"))
    , m_duration(histogramFamily(
          registry, "bulrush_request_duration_seconds", "time from the request to the end of the answer"))
    , m_retries(counterFamily(registry, "bulrush_retries_total", "attempts at model requests after the first").Add({}))
    , m_resumes(counterFamily(registry, "bulrush_stream_resumes_total", "streams resumed on the same upstream").Add({}))
    , m_inFlight(prometheus::BuildGauge()
                     .Name("bulrush_requests_in_flight")
                     .Help("requests being answered")
                     .Register(registry)
                     .Add({}))
{
}

void CallerMetrics::requestEnded(const RequestRecord& record)
{
    m_inFlight.Decrement();
    const std::string urgency(record.urgency ? toString(*record.urgency) : "none");
    m_requests.Add({ { "team", record.team }, { "urgency", urgency }, { "status", statusClass(record.status) } })
        .Increment();
    m_verdicts.Add({ { "verdict", std::string(toString(record.verdict)) } }).Increment();
    if (record.attempts > 1)
        m_retries.Increment(record.attempts - 1);
    m_resumes.Increment(record.resumes);
    if (record.urgency)
        m_duration.Add({ { "urgency", urgency } }, latencyBuckets()).Observe(secondsBetween(record.begin, record.end));
    if (record.firstTokenTime)
        m_timeToFirstToken.Add({ { "urgency", urgency } }, latencyBuckets())
            .Observe(secondsBetween(record.begin, *record.firstTokenTime));
    countDeadline(record, urgency);
}

/// Counts the request as having met or missed its deadline. Requests that ended because of a client error (4xx) or a
/// disconnect of the caller are not counted.
void CallerMetrics::countDeadline(const RequestRecord& record, const std::string& urgency)
{
    const bool isCallerError = record.isCallerGone || (record.status >= 400 && record.status < 500);
    if (!record.urgency || isCallerError)
        return;
    const bool isMet = record.status < 400 && !record.hasProblem && record.end <= record.deadline;
    m_deadlines.Add({ { "team", record.team }, { "urgency", urgency }, { "result", isMet ? "met" : "missed" } })
        .Increment();
}

void logRequest(const RequestRecord& record)
{
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(record.end - record.begin);
    LOG(INFO) << "event=request request=" << record.requestId << " team=" << (record.team.empty() ? "-" : record.team)
              << " kind=" << record.kind << " status=" << record.status << " verdict=" << toString(record.verdict)
              << " attempts=" << record.attempts << " resumes=" << record.resumes << " duration=" << duration.count()
              << "ms"
              << " caller_gone=" << record.isCallerGone;
}

} // namespace bulrushstack::detail
