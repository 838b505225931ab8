#include "front_metrics.h"

namespace bulrushstack {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

/// Bucket bounds in seconds for the time that the event loop is blocked or delayed; 0.1 s is the period of an ordinary
/// CPU quota.
prometheus::Histogram::BucketBoundaries loopDelayBuckets() { return { 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3 }; }

/// Bucket bounds in seconds; the latency objectives of the deployments lie between 0.1 s and 5 s.
prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    return { 0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 5, 8, 15 };
}

double seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

FrontMetrics::FrontMetrics(prometheus::Registry& registry)
    : m_requests(BuildCounter()
                     .Name("bulrush_front_requests_total")
                     .Help("Requests that have ended, by kind of call and outcome")
                     .Register(registry))
    , m_requestDurations(BuildHistogram()
                             .Name("bulrush_front_request_seconds")
                             .Help("Time from the request to the end of its answer, by kind of call")
                             .Register(registry))
    , m_attempts(BuildCounter()
                     .Name("bulrush_front_attempts_total")
                     .Help("Attempts at upstreams, by outcome")
                     .Register(registry))
    , m_retries(BuildCounter()
                    .Name("bulrush_front_retries_total")
                    .Help("Decisions after a failed attempt")
                    .Register(registry))
    , m_strayResponses(BuildCounter()
                           .Name("bulrush_front_stray_responses_total")
                           .Help("Responses of upstreams that were skipped because they name another request")
                           .Register(registry)
                           .Add({}))
    , m_doubtfulEnds(BuildCounter()
                         .Name("bulrush_front_doubtful_ends_total")
                         .Help("Responses that ended with their connections when their upstreams seem to have ended")
                         .Register(registry)
                         .Add({}))
    , m_stuckRequests(
          BuildCounter()
              .Name("bulrush_front_stuck_requests_total")
              .Help("Requests that were dropped from the load of their upstreams since their end was not recorded")
              .Register(registry)
              .Add({}))
    , m_unanswered(BuildCounter()
                       .Name("bulrush_front_unanswered_requests_total")
                       .Help("Requests whose connection ended without a complete response, by reason")
                       .Register(registry))
    , m_orders(BuildCounter()
                   .Name("bulrush_front_orders_total")
                   .Help("Orders to upstreams, by kind and answer")
                   .Register(registry))
    , m_storeFailures(BuildCounter()
                          .Name("bulrush_front_store_failures_total")
                          .Help("Times that the shared store was lost, by table")
                          .Register(registry))
    , m_firstEventTimes(BuildHistogram()
                            .Name("bulrush_front_first_event_seconds")
                            .Help("Time from the request to the first event of its stream")
                            .Register(registry)
                            .Add({}, latencyBuckets()))
    , m_configurationVersion(
          gauge(registry, "bulrush_front_configuration_version", "Version of the configuration in force"))
    , m_upstreamCount(gauge(registry, "bulrush_front_upstreams", "Upstreams in the directory"))
    , m_leavingUpstreams(
          gauge(registry, "bulrush_front_leaving_upstreams", "Upstreams that said in an answer that they leave"))
    , m_pausingUpstreams(
          gauge(registry, "bulrush_front_pausing_upstreams", "Upstreams that want no requests for a time"))
    , m_limitedUpstreams(
          gauge(registry, "bulrush_front_limited_upstreams", "Upstreams that state a limit for their request rate"))
    , m_leaseHolder(
          gauge(registry, "bulrush_front_placement_holder", "1 while this instance holds the placement lease"))
    , m_storeReaders(
          gauge(registry, "bulrush_front_store_readers", "Known readers of the store in this availability zone"))
    , m_isStoreReader(gauge(registry, "bulrush_front_store_reader", "1 while this instance reads the store for others"))
    , m_areTablesRelayed(
          gauge(registry, "bulrush_front_tables_relayed", "1 while this instance reads the tables from a reader"))
    , m_storeReadAge(gauge(
          registry, "bulrush_front_store_read_age_seconds", "Time since this instance itself last read the store"))
    , m_relayAnswers(gauge(registry, "bulrush_front_relay_answers", "Answers to other instances about tables"))
    , m_openConnections(gauge(registry, "bulrush_front_outgoing_connections",
          "Connections to upstreams, other instances and the store, idle ones included"))
    , m_idleConnections(
          gauge(registry, "bulrush_front_idle_connections", "Connections to others that wait to be used again"))
    , m_evictedConnections(
          gauge(registry, "bulrush_front_evicted_connections", "Idle connections that were closed since the start"))
    , m_unsolicitedConnections(gauge(registry, "bulrush_front_unsolicited_connections",
          "Idle connections that were closed since the start because their server had sent bytes without a request"))
    , m_clientBufferBytes(gauge(registry, "bulrush_front_client_buffer_bytes",
          "Memory held for requests of clients and buffered responses of upstreams"))
    , m_refusedForMemory(gauge(registry, "bulrush_front_client_buffer_refused_requests",
          "Requests that were refused since the start because client-buffer-limit was reached"))
    , m_closedForMemory(gauge(registry, "bulrush_front_client_buffer_closed_connections",
          "Connections of stalled clients that were closed since the start because client-buffer-limit was reached"))
    , m_loopDelays(BuildHistogram()
                       .Name("bulrush_front_loop_delay_seconds")
                       .Help("How late the event loop runs a timer")
                       .Register(registry)
                       .Add({}, loopDelayBuckets()))
    , m_planningTimes(BuildHistogram()
                          .Name("bulrush_front_plan_seconds")
                          .Help("Time of one round of placement planning")
                          .Register(registry)
                          .Add({}, loopDelayBuckets()))
{
}

void FrontMetrics::recordRequest(std::string_view kind, std::string_view outcome, std::chrono::nanoseconds duration)
{
    m_requests.Add({ { "kind", std::string(kind) }, { "outcome", std::string(outcome) } }).Increment();
    m_requestDurations.Add({ { "kind", std::string(kind) } }, latencyBuckets()).Observe(seconds(duration));
}

void FrontMetrics::recordFirstEvent(std::chrono::nanoseconds duration) { m_firstEventTimes.Observe(seconds(duration)); }

void FrontMetrics::recordAttempt(std::string_view outcome)
{
    m_attempts.Add({ { "outcome", std::string(outcome) } }).Increment();
}

void FrontMetrics::recordStrayResponse() { m_strayResponses.Increment(); }

void FrontMetrics::recordDoubtfulEnd() { m_doubtfulEnds.Increment(); }

void FrontMetrics::recordStuckRequests(std::size_t n) { m_stuckRequests.Increment(static_cast<double>(n)); }

void FrontMetrics::recordUnanswered(std::string_view reason)
{
    m_unanswered.Add({ { "reason", std::string(reason) } }).Increment();
}

void FrontMetrics::recordRetryDecision(std::string_view decision)
{
    m_retries.Add({ { "decision", std::string(decision) } }).Increment();
}

void FrontMetrics::recordOrder(std::string_view kind, std::string_view result)
{
    m_orders.Add({ { "kind", std::string(kind) }, { "answer", std::string(result) } }).Increment();
}

void FrontMetrics::recordStoreFailure(std::string_view table)
{
    m_storeFailures.Add({ { "table", std::string(table) } }).Increment();
}

void FrontMetrics::setConfigurationVersion(std::uint64_t version)
{
    m_configurationVersion.Set(static_cast<double>(version));
}

void FrontMetrics::setUpstreamCount(std::size_t count) { m_upstreamCount.Set(static_cast<double>(count)); }

void FrontMetrics::setUpstreamAnnouncements(const UpstreamDirectory::AnnouncementCounts& counts)
{
    m_leavingUpstreams.Set(static_cast<double>(counts.leaving));
    m_pausingUpstreams.Set(static_cast<double>(counts.pausing));
    m_limitedUpstreams.Set(static_cast<double>(counts.limited));
}

void FrontMetrics::setLeaseHolder(bool isHolder) { m_leaseHolder.Set(isHolder ? 1 : 0); }

void FrontMetrics::setRelayStatus(const StoreRelayStatus& status)
{
    m_storeReaders.Set(static_cast<double>(status.readers));
    m_isStoreReader.Set(status.isReader ? 1 : 0);
    m_areTablesRelayed.Set(status.isRelayed ? 1 : 0);
    m_storeReadAge.Set(seconds(status.storeReadAge));
    m_relayAnswers.Set(static_cast<double>(status.answers));
}

void FrontMetrics::setClientConnections(const HttpConnectionCounts& counts)
{
    m_openConnections.Set(static_cast<double>(counts.open));
    m_idleConnections.Set(static_cast<double>(counts.idle));
    m_evictedConnections.Set(static_cast<double>(counts.evicted));
    m_unsolicitedConnections.Set(static_cast<double>(counts.unsolicited));
}

void FrontMetrics::setClientBuffers(const ClientBufferCounts& counts)
{
    m_clientBufferBytes.Set(static_cast<double>(counts.bytes));
    m_refusedForMemory.Set(static_cast<double>(counts.refusedRequests));
    m_closedForMemory.Set(static_cast<double>(counts.closedConnections));
}

void FrontMetrics::recordLoopDelay(std::chrono::nanoseconds delay) { m_loopDelays.Observe(seconds(delay)); }

void FrontMetrics::recordPlanningTime(std::chrono::nanoseconds duration) { m_planningTimes.Observe(seconds(duration)); }

} // namespace bulrushstack
