#pragma once

#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/residency_tracker.h"

#include <set>
#include <string>
#include <vector>

namespace bulrushstack {

struct PlannerOptions {
    /// Work per copy, in milliseconds of upstream time per second, from which a model gets another copy.
    double copyWorkThreshold = 300;

    /// The same threshold for a copy whose weights come from the weight store. It is higher, since such a load keeps
    /// the upstream from other orders for long and counts toward the load rate limit of the weight store.
    double weightStoreCopyWorkThreshold = 1000;

    /// Share of upstreams with an order in progress below which copyWorkThreshold also applies to loads from the weight
    /// store, since enough other upstreams can then take urgent orders.
    double maxChangingShare = 0.2;

    /// Factor by which the need of a model with a copy must exceed the remaining work per copy of the model that loses
    /// a copy, and by which the need of a model without a copy must exceed that of the model whose last copy is
    /// unloaded. It prevents models from replacing each other in turn.
    double replacementNeedRatio = 2.0;
};

/// A load or unload that the planner requests. An unload frees memory for a load that a later plan requests.
struct PlannedChange {
    OrderKind kind = OrderKind::Load;
    std::string upstreamId;
    std::string model;
    /// Need of the model for which the change is made, in milliseconds of upstream time per second.
    double workPerCopy = 0;

    friend bool operator==(const PlannedChange&, const PlannedChange&) = default;
};

/// Plans the next loads and unloads of models for one service.
///
/// It reacts to demand that shifts between models within seconds and to upstreams that restart empty. Models without a
/// copy come first; after that, copies follow the demand, one change per upstream and plan. The last copy of a model is
/// unloaded only for a model without a copy whose requests are being missed and whose need is greater by
/// replacementNeedRatio. Streams that callers take up need a copy at the software version that began them; a model
/// without such a copy counts as one without any. `leaving` names upstreams that are draining: their copies do not
/// count and they get no orders.
std::vector<PlannedChange> planPlacement(const std::string& service, const ResidencyTracker& tracker,
    const DemandEstimator& demand, const std::set<std::string>& leaving, const PlannerOptions& options);

/// Upstream on which an adapter is to be loaded.
struct AdapterSlotChoice {
    std::string upstreamId; ///< Id of the upstream; empty if none can take the adapter.
    /// Adapter to unload first; both parts are empty if a slot is free.
    AdapterKey evicted;
};

/// Chooses the upstream that loads an adapter: the one with the most free adapter slots among those that have the model
/// loaded; if no slot is free, the one with the least recently requested adapter, which is evicted. `lastRequested`
/// holds the time of the last request for each adapter.
AdapterSlotChoice chooseAdapterSlot(const ResidencyTracker& tracker, const AdapterKey& adapter,
    const std::map<AdapterKey, SteadyTime>& lastRequested, const std::set<std::string>& leaving);

} // namespace bulrushstack
