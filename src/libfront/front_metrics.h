#pragma once

#include <chrono>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Counters and histograms of the front. No label takes values from requests, so their number is bounded.
class FrontMetrics {
public:
    explicit FrontMetrics(prometheus::Registry& registry);

    void noteRequest(std::string_view kind, std::string_view outcome, std::chrono::nanoseconds duration);
    void noteFirstEvent(std::chrono::nanoseconds duration);
    void noteAttempt(std::string_view outcome);
    void noteRetry(std::string_view reason);
    void noteOrder(std::string_view kind, std::string_view answer);
    void noteStoreFailure(std::string_view table);
    void setConfigurationVersion(std::uint64_t version);
    void setUpstreams(std::size_t usable);
    void setStatements(std::size_t leaving, std::size_t pausing);
    void setHolder(bool isHolder);
    void noteLoopDelay(std::chrono::nanoseconds delay);
    void notePlan(std::chrono::nanoseconds duration);

private:
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Histogram>& m_durations;
    prometheus::Family<prometheus::Counter>& m_attempts;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Family<prometheus::Counter>& m_orders;
    prometheus::Family<prometheus::Counter>& m_storeFailures;
    prometheus::Histogram& m_firstEvents;
    prometheus::Gauge& m_version;
    prometheus::Gauge& m_upstreams;
    prometheus::Gauge& m_leaving;
    prometheus::Gauge& m_pausing;
    prometheus::Gauge& m_holder;
    prometheus::Histogram& m_loopDelays;
    prometheus::Histogram& m_plans;
};

} // namespace bulrushstack
