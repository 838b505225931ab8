#pragma once

#include "bulrushstack/front/front_binding.h"
#include "bulrushstack/front/placement_messages.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/residency_hints.h"
#include "bulrushstack/serving/retry_budget.h"
#include "bulrushstack/serving/suspect_requests.h"
#include "table_follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

namespace bulrushstack {

/// Limits that the platform states for this deployment.
struct PlatformLimits {
    double retryRatio = 0.1; ///< repeated arrivals per request, over all instances
    double retrySlack = 10; ///< repeated arrivals beside the ratio in each window, over all instances
    std::chrono::nanoseconds stablePeriod = std::chrono::seconds(3); ///< after which a repaired dependency counts
    std::chrono::nanoseconds configurationPeriod = std::chrono::seconds(2); ///< until a change is in force
    std::chrono::nanoseconds leasePeriod = std::chrono::seconds(3); ///< between orders of two holders
    std::chrono::nanoseconds gracePeriod = std::chrono::seconds(8); ///< between SIGTERM and SIGKILL

    friend bool operator==(const PlatformLimits&, const PlatformLimits&) = default;
};

/// What one instance of the front knows, shared by its requests and its placement agent. One thread.
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

    /// The configuration in force; null until the first one was read.
    const ServingConfigurationPtr& configuration() const { return m_configuration; }

    /// Takes a configuration unless it is older than the one in force. Returns whether it was taken.
    bool updateConfiguration(ServingConfigurationPtr configuration);

    ServingDirectory& directory() { return m_directory; }
    UpstreamLoads& upstreamLoads() { return m_upstreamLoads; }
    ResidencyHints& residencyHints() { return m_residencyHints; }
    SuspectRequests& suspectRequests() { return m_suspectRequests; }
    RetryBudget& retryBudget(const std::string& service);

    /// Sets how many instances share the retry budgets.
    void setInstanceCount(unsigned instanceCount);
    unsigned instanceCount() const { return m_instanceCount; }

    /// Returns the upstreams of the service that hold the model and the adapter, as far as is known.
    std::vector<const UpstreamEntry*> upstreamsWithModel(
        const std::string& service, const ServingRequest& request) const;

    /// Returns whether any upstream of the service holds the model, with whatever adapters.
    bool isModelResident(const std::string& service, const std::string& model) const;

    /// Returns how long all upstreams that could serve the request still pause; empty if one does not, or if none
    /// could.
    std::optional<Milliseconds> remainingPause(const std::string& service, const ServingRequest& request) const;

    /// Notes that an upstream said that it leaves, in an answer of the given kind. `startedAt` is the start of the
    /// process that was asked.
    void markLeaving(const std::string& id, std::uint64_t startedAt, std::string_view source);

    /// Sets the copies that get no new requests, as the holder of the placement lease stated them.
    void setRetiringReplicas(const std::vector<RetiringReplica>& replicas);

    double prefillMsPerToken(const std::string& model) const;

    /// Notes how long the first event took for a prompt of which `tokens` had to be read.
    void updatePrefillEstimate(const std::string& model, double tokens, std::chrono::nanoseconds duration);

    /// Counts a request for a model for the next message to the holder.
    void recordDemand(const std::string& service, const ServingRequest& request, double workMs, bool isPlaced);

    /// Returns what was counted since the last call.
    DemandMessage collectAndResetDemand();
    bool hasUrgentDemand() const { return m_hasUrgentDemand; }

    /// Wakes the requests that wait for a change of the directory or of the hints.
    void wakeWaitingRequests();

    /// Completes at the next wakeWaiting(), or at the deadline.
    boost::asio::awaitable<void> waitForChange(SteadyTime deadline);

    std::uint64_t random() { return m_random(); }

    /// Returns a random number from 0 to 1.
    double randomFraction() { return std::uniform_real_distribution<double>()(m_random); }

private:
    double retryBudgetBurst() const;
    bool canServe(const UpstreamEntry& upstream, const ServingRequest& request) const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    std::string m_instanceId;
    std::string m_zone;
    PlatformLimits m_platformLimits;
    ServingConfigurationPtr m_configuration;
    ServingDirectory m_directory;
    UpstreamLoads m_upstreamLoads;
    ResidencyHints m_residencyHints;
    SuspectRequests m_suspectRequests;
    std::map<std::string, RetryBudget> m_retryBudgets;
    unsigned m_instanceCount = 0; ///< 0: not known yet
    std::set<std::pair<std::string, std::string>> m_retiringReplicas;
    std::map<std::string, double> m_prefillMsPerToken; ///< by model, on an upstream with little else to do
    std::map<ModelKey, ModelDemand> m_demand;
    std::set<std::tuple<std::string, std::string, std::string>> m_adapterDemand;
    bool m_hasUrgentDemand = false;
    std::set<boost::asio::steady_timer*> m_waitTimers;
    std::mt19937_64 m_random { std::random_device()() };
};

} // namespace bulrushstack
