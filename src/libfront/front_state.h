#pragma once

#include "active_requests.h"
#include "bulrushstack/front/front_binding.h"
#include "bulrushstack/front/placement_messages.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/crash_suspects.h"
#include "bulrushstack/serving/recent_refusals.h"
#include "bulrushstack/serving/residency_hints.h"
#include "bulrushstack/serving/retry_budget.h"
#include "bulrushstack/serving/upstream_pace.h"
#include "bulrushstack/serving/upstream_reachability.h"
#include "bulrushstack/teams/quota_issuer.h"
#include "table_follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace bulrushstack {

/// Limits that the platform sets for this deployment.
struct PlatformLimits {
    /// Number of retries that may arrive at upstreams per request, over all instances.
    double retryRatio = 0.1;
    /// Number of retries that are permitted in each window in addition to the ratio, over all instances.
    double retrySlack = 10;
    /// Time after the repair of a dependency from which the platform counts it as available again.
    std::chrono::nanoseconds stablePeriod = std::chrono::seconds(3);
    /// Time within which a change of the configuration must come into force.
    std::chrono::nanoseconds configurationPeriod = std::chrono::seconds(2);
    /// Minimum time between orders of two holders of the placement lease.
    std::chrono::nanoseconds leasePeriod = std::chrono::seconds(3);
    /// Time after an upstream announced its departure, or its entry was removed, in which it may still get requests.
    std::chrono::nanoseconds drainPeriod = std::chrono::seconds(2);
    /// Time between SIGTERM and SIGKILL.
    std::chrono::nanoseconds gracePeriod = std::chrono::seconds(8);
    QuotaRule quotaRule;

    friend bool operator==(const PlatformLimits&, const PlatformLimits&) = default;
};

/// State of one instance of the front, shared by its requests and its placement agent. Not thread-safe: all calls are
/// made on the thread of the event loop.
class FrontState {
public:
    FrontState(boost::asio::io_context& context, const Clock& clock, std::string instanceId, std::string zone,
        PlatformLimits platformLimits);

    const Clock& clock() const { return m_clock; }
    boost::asio::io_context& context() { return m_context; }
    const std::string& instanceId() const { return m_instanceId; }
    const std::string& zone() const { return m_zone; }
    const PlatformLimits& platformLimits() const { return m_platformLimits; }
    void setPlatformLimits(const PlatformLimits& platformLimits);

    /// Records that this instance is stopping, and the time at which requests still in progress are ended.
    void beginShutdown(SteadyTime end) { m_shutdownEnd = end; }
    const std::optional<SteadyTime>& shutdownEnd() const { return m_shutdownEnd; }

    const std::shared_ptr<ActiveRequests>& activeRequests() const { return m_activeRequests; }

    /// Ends all requests in progress with an error.
    void abortRequests();

    /// Returns the configuration in force; null until the first one was read.
    const ServingConfigurationPtr& configuration() const { return m_configuration; }

    /// Applies a configuration if it is newer than the one in force. Returns whether it was applied.
    bool updateConfiguration(ServingConfigurationPtr configuration);

    UpstreamDirectory& directory() { return m_directory; }
    UpstreamLoads& upstreamLoads() { return m_upstreamLoads; }
    UpstreamPace& upstreamPace() { return m_upstreamPace; }
    const UpstreamPace& upstreamPace() const { return m_upstreamPace; }
    UpstreamReachability& reachability() { return m_reachability; }
    const UpstreamReachability& reachability() const { return m_reachability; }
    ResidencyHints& residencyHints() { return m_residencyHints; }
    RetryBudget& retryBudget(const std::string& service);
    const CrashSuspects& crashSuspects() const { return m_crashSuspects; }
    RecentRefusals& recentRefusals() { return m_recentRefusals; }

    /// Records what was in progress on a process of an upstream when it crashed. The lease holder hears of it soon.
    void recordCrash(const std::string& upstream, std::uint64_t startedAt, const std::vector<CrashSuspect>& suspects);

    /// Clears the contents of a request that an upstream has run to the end of the suspicion that they crash upstreams.
    void recordServed(const std::vector<CrashSuspect>& contents);

    /// Records that a request was sent to an upstream although it contains these quarantined suspects.
    void recordTrial(const std::string& request, const std::vector<SuspectId>& suspects);

    /// Merges the crashes that another instance knows.
    void mergeCrashes(const std::vector<UpstreamCrash>& crashes);

    /// Sets the number of instances that share the retry budgets; 0 is ignored.
    void setInstanceCount(unsigned instanceCount);
    unsigned instanceCount() const { return m_instanceCount; }

    /// Returns the usable upstreams of the service that have the model and the adapter of the request loaded, as far as
    /// this instance knows.
    std::vector<const UpstreamEntry*> upstreamsWithModel(
        const std::string& service, const ServingRequest& request) const;

    /// Returns whether any upstream of the service has the model loaded, regardless of its adapters. Upstreams that are
    /// pausing or without a permit count.
    bool isModelResident(const std::string& service, const std::string& model) const;

    /// Returns the time until the first of the upstreams that could serve the request ends its pause or can get a
    /// permit; empty if one of them can get requests now, or if there are none.
    std::optional<Milliseconds> remainingSuspension(const std::string& service, const ServingRequest& request) const;

    /// Records that an upstream announced in a response that it is shutting down. `startedAt` is the start time of the
    /// process that responded, in Unix milliseconds; `source` is the kind of response, for the log.
    void markLeaving(const std::string& id, std::uint64_t startedAt, std::string_view source);

    /// Sets the replicas that get no new requests, as listed by the holder of the placement lease.
    void setRetiringReplicas(const std::vector<RetiringReplica>& replicas);

    double prefillMsPerToken(const std::string& model) const;

    /// Updates the estimated prefill time of a model by the time to the first event for a prompt of which `tokens`
    /// tokens had to be processed.
    void updatePrefillEstimate(const std::string& model, double tokens, std::chrono::nanoseconds duration);

    /// Counts a request for a model; the counts are sent to the lease holder with the next demand message.
    /// `isPlaced` is whether an upstream of the service has the model loaded.
    void recordDemand(const std::string& service, const ServingRequest& request, double workMs, bool isPlaced);

    /// Counts a stream to be taken up for whose model no upstream of its software version is loaded.
    void recordUnplacedStream(
        const std::string& service, const ServingRequest& request, const std::string& softwareVersion);

    /// Returns the demand since the last call, as a message to the lease holder.
    DemandMessage collectAndResetDemand();

    /// Returns whether requests since the last collectAndResetDemand() found no upstream with their model loaded, or a
    /// crash was recorded.
    bool hasUrgentDemand() const { return m_hasUrgentDemand; }

    /// Wakes the requests that wait for a change of the directory or of the residency hints.
    void wakeWaitingRequests();

    /// Completes at the next call of wakeWaitingRequests(), or at the deadline.
    boost::asio::awaitable<void> waitForChange(SteadyTime deadline);

    std::uint64_t random() { return m_random(); }

    /// Returns a random number from 0 to 1.
    double randomFraction() { return std::uniform_real_distribution<double>()(m_random); }

private:
    double retryBudgetBurst() const;
    void recordQuarantineChanges(const std::map<SuspectId, QuarantineState>& previous);
    bool canServe(const UpstreamEntry& upstream, const ServingRequest& request) const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    std::string m_instanceId;
    std::string m_zone;
    PlatformLimits m_platformLimits;
    ServingConfigurationPtr m_configuration;
    UpstreamDirectory m_directory;
    UpstreamLoads m_upstreamLoads;
    UpstreamPace m_upstreamPace;
    UpstreamReachability m_reachability;
    ResidencyHints m_residencyHints;
    CrashSuspects m_crashSuspects;
    RecentRefusals m_recentRefusals;
    std::map<std::string, RetryBudget> m_retryBudgets;
    /// Number of instances that share the retry budgets; 0 while it is unknown.
    unsigned m_instanceCount = 0;
    std::set<std::pair<std::string, std::string>> m_retiringReplicas;
    /// Estimated prefill time per token by model, on an upstream with little other work.
    std::map<std::string, double> m_prefillMsPerToken;
    std::map<ModelKey, ModelDemand> m_demand;
    std::set<std::tuple<std::string, std::string, std::string>> m_adapterDemand;
    bool m_hasUrgentDemand = false;
    std::set<boost::asio::steady_timer*> m_waitTimers;
    std::shared_ptr<ActiveRequests> m_activeRequests = std::make_shared<ActiveRequests>();
    std::optional<SteadyTime> m_shutdownEnd;
    std::mt19937_64 m_random { std::random_device()() };
};

} // namespace bulrushstack
