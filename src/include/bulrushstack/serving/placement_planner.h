#pragma once

#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/residency_tracker.h"

#include <set>
#include <string>
#include <vector>

namespace bulrushstack {

struct PlannerOptions {
    /// Work per copy, in milliseconds per second, above which a model gets another copy in free memory.
    double copyWorkThreshold = 300;

    /// The same for a copy that has to come from the weight store: it keeps the upstream from other orders for long,
    /// and takes from the loads that the store permits.
    double weightStoreCopyWorkThreshold = 1000;

    /// Share of upstreams with an order under way below which copies from the weight store keep nobody waiting.
    double maxChangingShare = 0.2;

    /// How many times the need of a model must exceed what remains for the copies of the one that gives way, or the
    /// need of the one whose last copy goes, so that models do not alternate.
    double replacementNeedRatio = 2.0;
};

/// A change that the planner wants. Unloads make room for a load that the next plan brings.
struct PlannedChange {
    OrderKind kind = OrderKind::Load;
    std::string upstreamId;
    std::string model;
    double workPerCopy = 0; ///< of the model that needs the room

    friend bool operator==(const PlannedChange&, const PlannedChange&) = default;
};

/// Decides which models of one service are loaded and unloaded next.
///
/// Answers two loads: demand that moves between models within seconds, and upstreams that come back empty. A model
/// without a copy comes first; then copies follow demand, one step at a time. The last copy of a model is never
/// unloaded. `leaving` names upstreams that are draining: their copies count for nothing.
std::vector<PlannedChange> planPlacement(const std::string& service, const ResidencyTracker& tracker,
    const DemandEstimator& demand, const std::set<std::string>& leaving, const PlannerOptions& options);

/// Chooses the upstream that loads an adapter: one that holds the model and has a free place, else the one whose
/// adapter was asked for least recently gives way. `asked` holds when each adapter was last asked for.
struct AdapterSlotChoice {
    std::string upstreamId; ///< empty if no upstream holds the model
    AdapterKey evicted; ///< both empty if there is a free place
};
AdapterSlotChoice chooseAdapterSlot(const ResidencyTracker& tracker, const AdapterKey& adapter,
    const std::map<AdapterKey, SteadyTime>& lastRequested, const std::set<std::string>& leaving);

} // namespace bulrushstack
