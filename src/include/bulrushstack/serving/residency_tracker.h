#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/serving_configuration.h"
#include "bulrushstack/serving/upstream_directory.h"
#include "bulrushstack/serving/upstream_order.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrushstack {

/// State that an upstream returns when the placement holder asks for it.
struct UpstreamReport {
    bool isBusy = false; ///< The upstream is carrying out an order.
    std::uint64_t ordersAccepted = 0; ///< Number of orders that the upstream has accepted since it started.
    std::vector<LoadedModel> models;
    std::vector<std::string> loadingAdapters; ///< Adapters that are being loaded, as MODEL/ADAPTER.
    bool isLeaving = false; ///< The upstream announces that it is shutting down.

    friend bool operator==(const UpstreamReport&, const UpstreamReport&) = default;
};

using AdapterKey = std::pair<std::string, std::string>; ///< Model and adapter name.

/// Models and adapters that occupy, or may come to occupy, the memory of one upstream.
struct UpstreamResidency {
    std::string id;
    std::uint64_t startedAt = 0; ///< Start time of the upstream process, in Unix milliseconds.
    std::string softwareVersion;
    /// Whether the state was reported since this instance became the placement holder, and no later event has made it
    /// doubtful. While it is not known, the upstream gets no new orders.
    bool isStateKnown = false;
    bool hasOrderInFlight = false; ///< An order was sent and its response is pending; the next order has to wait.
    bool isBusy = false; ///< A model is being loaded or unloaded.
    std::uint64_t ordersAccepted = 0; ///< Number of accepted orders, as last reported or counted.
    std::set<std::string> loaded; ///< Models that can serve requests.
    std::set<std::string> loading;
    std::set<std::string> unloading; ///< Models that still occupy memory but are no longer used.
    std::set<AdapterKey> adapters; ///< Adapters that are loaded or being loaded; each occupies a slot.
    std::optional<SteadyTime> busySince;
    /// Earliest time for the next state report request or order retry, after a report, a conflict or an order without a
    /// response.
    std::optional<SteadyTime> retryNotBefore;

    /// Returns whether the model occupies memory: loaded, being loaded or being unloaded.
    bool occupiesMemory(const std::string& model) const
    {
        return loaded.count(model) || loading.count(model) || unloading.count(model);
    }
};

/// Tracks, on the placement holder, which models and adapters the upstreams of one service have loaded, and how much
/// memory is reserved for them. Performs no I/O.
///
/// Memory is reserved before a load order is sent, and stays reserved until the upstream reports that the order can no
/// longer take effect. An order without a response stays pending. It is resolved by sending the same order again with
/// the same expected count, since the upstream accepts at most one of the two.
class ResidencyTracker {
public:
    ResidencyTracker(const Clock& clock, EngineSpec engine);

    /// Replaces the engine settings of the service. Orders in progress keep their memory reservation.
    void setEngine(EngineSpec engine);
    const EngineSpec& engine() const { return m_engine; }

    /// Applies the directory rows of the upstreams of the service, and removes upstreams that are not among them.
    void update(const std::vector<const UpstreamEntry*>& entries);

    /// Applies a state report of an upstream.
    void recordReport(const std::string& id, const UpstreamReport& report);

    /// Handles the rejection of a request for an adapter: the state of the upstream is read again before the next
    /// order.
    void recordAdapterAbsent(const std::string& id, const AdapterKey& adapter);

    /// Requires that the state of the upstream is read again before the next order.
    void invalidateState(const std::string& id);

    /// Returns the id of an upstream that has the adapter loaded or loading; empty if there is none.
    std::string findAdapter(const AdapterKey& adapter, const std::set<std::string>& leaving) const;

    /// Returns whether the memory and the adapter slots of the upstream have room for the order.
    bool fits(const UpstreamOrder& order) const;

    /// Reserves the memory for an order before it is sent and returns the order with its expected count.
    UpstreamOrder beginOrder(UpstreamOrder order);

    /// Records the result of an order.
    void finishOrder(const UpstreamOrder& order, OrderResult result);

    /// Returns the order whose response was lost and which must be resolved before any other; empty if there is none.
    std::optional<UpstreamOrder> unresolvedOrder(const std::string& id) const;

    /// Returns whether loading the model on the upstream would read the weight store.
    bool isWeightStoreLoad(const std::string& id, const std::string& model) const;

    /// Returns the models whose weights the upstream has in host memory or on disk; null for an unknown upstream. The
    /// set is valid until the next update() or reset().
    const std::set<std::string>* localCopies(const std::string& id) const;

    /// Returns how many loads from the weight store may start now without exceeding its rate limit.
    unsigned weightStoreLoadAllowance() const;

    /// Returns the memory, in MB, that is neither occupied by models nor reserved for adapters; 0 for an unknown
    /// upstream.
    double freeMb(const std::string& id) const;
    unsigned freeAdapterSlots(const std::string& id) const;

    const std::map<std::string, UpstreamResidency>& upstreams() const { return m_upstreams; }
    const UpstreamResidency* find(const std::string& id) const;

    /// Counts as many weight store loads as the rate limit allows as started `age` ago. A new holder calls it, since it
    /// does not know which loads the previous holder ordered.
    void assumeRecentWeightStoreLoads(std::chrono::nanoseconds age);

    /// Discards the state of all upstreams, so that it is read again.
    void reset();

private:
    /// Internal state of an upstream in addition to its UpstreamResidency.
    struct UpstreamDetails {
        std::vector<LoadedModel> directoryModels; ///< Models in the last directory row.
        std::set<std::string> localCopies; ///< Models whose weights are in host memory or on disk.
        std::optional<UpstreamOrder> pendingOrder; ///< Order that was sent and is not resolved.
    };

    void applyDirectoryModels(UpstreamResidency& upstream, const std::vector<LoadedModel>& models);
    static void clearBusy(UpstreamResidency& upstream);
    void applyAccepted(UpstreamResidency& upstream, const UpstreamOrder& order, bool isComplete) const;
    double sizeOf(const std::string& model) const;

    const Clock& m_clock;
    EngineSpec m_engine;
    std::unordered_map<std::string, double> m_sizesMb; ///< Model sizes by model name.
    double m_largestModelMb = 0;
    double m_adapterReserveMb = 0; ///< Memory on each upstream that is reserved for adapters.
    std::map<std::string, UpstreamResidency> m_upstreams;
    std::map<std::string, UpstreamDetails> m_details;
    /// Times at which loads from the weight store were ordered, oldest first.
    std::deque<SteadyTime> m_weightStoreLoads;
};

} // namespace bulrushstack
