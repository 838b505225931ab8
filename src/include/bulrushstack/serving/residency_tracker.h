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

/// What an upstream answers when it is asked for its state.
struct UpstreamReport {
    bool isBusy = false; ///< an order is being carried out
    std::uint64_t ordersAccepted = 0;
    std::vector<LoadedModel> models;
    std::vector<std::string> loadingAdapters; ///< MODEL/ADAPTER
    bool isLeaving = false; ///< the upstream states that it will end

    friend bool operator==(const UpstreamReport&, const UpstreamReport&) = default;
};

using AdapterKey = std::pair<std::string, std::string>; ///< model and adapter

/// What is charged to the memory of one upstream.
struct UpstreamResidency {
    std::string id;
    std::uint64_t startedAt = 0;
    bool isStateKnown = false; ///< its state was read since this instance became the holder
    bool hasOrderInFlight = false; ///< an order is on its way; the next one has to wait for its answer
    bool isBusy = false; ///< a model is being loaded or unloaded
    std::uint64_t ordersAccepted = 0;
    std::set<std::string> loaded; ///< models that can serve
    std::set<std::string> loading;
    std::set<std::string> unloading; ///< still charged, no longer used
    std::set<AdapterKey> adapters; ///< held or arriving; all are charged
    std::optional<SteadyTime> busySince;
    std::optional<SteadyTime> retryNotBefore; ///< after a conflict or an order without an answer

    bool occupiesMemory(const std::string& model) const
    {
        return loaded.count(model) || loading.count(model) || unloading.count(model);
    }
};

/// The holder's account of what the upstreams of one service hold, may come to hold, and are charged for; no I/O.
///
/// Memory is charged from before an order is sent until the upstream shows that the order can no longer take effect.
/// An order without an answer stays pending: sending the same order with the same expected count again settles it,
/// since the upstream accepts at most one of the two.
class ResidencyTracker {
public:
    ResidencyTracker(const Clock& clock, EngineSpec engine);

    /// Replaces the description of the service; orders under way keep their charge.
    void setEngine(EngineSpec engine);
    const EngineSpec& engine() const { return m_engine; }

    /// Takes the upstreams of the service as they describe themselves; the others are forgotten.
    void update(const std::vector<const UpstreamEntry*>& entries);

    /// Takes the state that an upstream reported when asked.
    void recordReport(const std::string& id, const UpstreamReport& report);

    /// Takes an adapter off an upstream that refused a request for it; the state is read again before the next order.
    void recordAdapterAbsent(const std::string& id, const AdapterKey& adapter);

    /// Requires that the state of an upstream is read again before the next order.
    void invalidateState(const std::string& id);

    /// Returns an upstream that holds the adapter; empty if there is none.
    std::string findAdapter(const AdapterKey& adapter, const std::set<std::string>& leaving) const;

    /// Returns whether the order fits into the memory and the adapter places of its upstream.
    bool fits(const UpstreamOrder& order) const;

    /// Charges an order before it is sent and fills in its expected count.
    UpstreamOrder beginOrder(UpstreamOrder order);

    /// Notes the answer.
    void finishOrder(const UpstreamOrder& order, OrderResult result);

    /// Returns the order that must be settled first, after its answer was lost; empty if there is none.
    std::optional<UpstreamOrder> unresolvedOrder(const std::string& id) const;

    /// Returns whether a load of the model on the upstream would read the weight store.
    bool isWeightStoreLoad(const std::string& id, const std::string& model) const;

    /// Returns the models that an upstream has in host memory or on disk; null for an upstream that is not known.
    const std::set<std::string>* localCopies(const std::string& id) const;

    /// Returns how many loads from the weight store may begin now without exceeding its rate.
    unsigned weightStoreLoadAllowance() const;

    double freeMb(const std::string& id) const;
    unsigned freeAdapterSlots(const std::string& id) const;

    const std::map<std::string, UpstreamResidency>& upstreams() const { return m_upstreams; }
    const UpstreamResidency* find(const std::string& id) const;

    /// Counts as many loads as the rate allows as begun `age` ago. For a new holder, which does not know what the one
    /// before it ordered.
    void assumeRecentWeightStoreLoads(std::chrono::nanoseconds age);

    /// Forgets everything that was learnt as the holder, so that it is read again.
    void reset();

private:
    struct UpstreamDetails {
        std::vector<LoadedModel> directoryModels; ///< models in the last description
        std::set<std::string> localCopies; ///< copies in host memory or on disk
        std::optional<UpstreamOrder> pendingOrder; ///< sent, not settled
    };

    void applyDirectoryModels(UpstreamResidency& upstream, const std::vector<LoadedModel>& models);
    static void clearBusy(UpstreamResidency& upstream);
    void applyAccepted(UpstreamResidency& upstream, const UpstreamOrder& order, bool isComplete) const;
    double sizeOf(const std::string& model) const;

    const Clock& m_clock;
    EngineSpec m_engine;
    std::unordered_map<std::string, double> m_sizesMb; ///< by model of the engine
    double m_largestModelMb = 0;
    double m_adapterReserveMb = 0; ///< memory of an upstream that is kept for adapters
    std::map<std::string, UpstreamResidency> m_upstreams;
    std::map<std::string, UpstreamDetails> m_details;
    std::deque<SteadyTime> m_weightStoreLoads; ///< when loads from the weight store were sent
};

} // namespace bulrushstack
