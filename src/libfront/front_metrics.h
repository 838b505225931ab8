#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/relay/store_relay.h"
#include "bulrushstack/serving/upstream_directory.h"

#include <chrono>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace bulrushstack {

struct ClientBufferCounts {
    std::size_t bytes = 0;
    std::uint64_t refusedRequests = 0;
    std::uint64_t closedConnections = 0;
};

/// Prometheus metrics of the front. No label takes its values from requests, so that the number of time series is
/// bounded.
class FrontMetrics {
public:
    explicit FrontMetrics(prometheus::Registry& registry);

    void recordRequest(std::string_view kind, std::string_view outcome, std::chrono::nanoseconds duration);
    void recordFirstEvent(std::chrono::nanoseconds duration);
    void recordAttempt(std::string_view outcome);
    void recordRetryDecision(std::string_view decision);
    void recordStrayResponse();
    void recordDoubtfulEnd();
    void recordStuckRequests(std::size_t n);
    void recordUnanswered(std::string_view reason);
    void recordOrder(std::string_view kind, std::string_view result);
    void recordStoreFailure(std::string_view table);
    void setConfigurationVersion(std::uint64_t version);
    void setUpstreamCount(std::size_t count);
    void setUpstreamAnnouncements(const UpstreamDirectory::AnnouncementCounts& counts);
    void setLeaseHolder(bool isHolder);
    void setRelayStatus(const StoreRelayStatus& status);
    void setClientConnections(const HttpConnectionCounts& counts);
    void setClientBuffers(const ClientBufferCounts& counts);
    void recordLoopDelay(std::chrono::nanoseconds delay);
    void recordPlanningTime(std::chrono::nanoseconds duration);

private:
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Histogram>& m_requestDurations;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Counter& m_strayResponses;
    prometheus::Counter& m_doubtfulEnds;
    prometheus::Counter& m_stuckRequests;
    prometheus::Family<prometheus::Counter>& m_unanswered;
    prometheus::Family<prometheus::Counter>& m_orders;
    prometheus::Family<prometheus::Counter>& m_storeFailures;
    prometheus::Histogram& m_firstEventTimes;
    prometheus::Gauge& m_configurationVersion;
    prometheus::Gauge& m_upstreamCount;
    prometheus::Gauge& m_leavingUpstreams;
    prometheus::Gauge& m_pausingUpstreams;
    prometheus::Gauge& m_limitedUpstreams;
    prometheus::Gauge& m_leaseHolder;
    prometheus::Gauge& m_storeReaders;
    prometheus::Gauge& m_isStoreReader;
    prometheus::Gauge& m_areTablesRelayed;
    prometheus::Gauge& m_storeReadAge;
    prometheus::Gauge& m_relayAnswers;
    prometheus::Gauge& m_openConnections;
    prometheus::Gauge& m_idleConnections;
    prometheus::Gauge& m_evictedConnections;
    prometheus::Gauge& m_unsolicitedConnections;
    prometheus::Gauge& m_clientBufferBytes;
    prometheus::Gauge& m_refusedForMemory;
    prometheus::Gauge& m_closedForMemory;
    prometheus::Histogram& m_loopDelays;
    prometheus::Histogram& m_planningTimes;
};

} // namespace bulrushstack
