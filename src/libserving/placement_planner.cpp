#include "bulrushstack/serving/placement_planner.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace bulrushstack {

namespace {

constexpr double missingModelFactor
    = 3; ///< of the work of a model that no upstream can serve, against one that is busy
constexpr double unplacedRequestWork = 300; ///< of a request that waits for its model or was refused
constexpr double idleModelWork = 50; ///< of a missing model that nobody asks for
constexpr double missedRequestThreshold
    = 0.1; ///< requests without a copy, fading with time, above which a model is missed
constexpr unsigned minConcurrentLoadLimit = 2; ///< copies that are loaded at the same time beside as many that serve

/// Place of a model in the tables of a PlanState.
using ModelIndex = std::size_t;

/// The copies and the demand of a model, as far as a plan has gone.
struct PlannedModel {
    std::string name;
    const ModelSpec* spec = nullptr; ///< null for a model that the configuration no longer lists
    double work = 0; ///< milliseconds per second
    double unplaced = 0;
    unsigned loaded = 0;
    unsigned loading = 0;
    bool isUnloadPlanned = false; ///< the plan has taken a copy already

    unsigned copies() const { return loaded + loading; }

    /// Returns whether as many copies are being loaded as are sensible before their effect is seen.
    bool isAtLoadLimit() const { return loading >= std::max(minConcurrentLoadLimit, loaded); }

    double workPerCopy() const { return work / std::max(1U, copies()); }

    /// Returns the work for each copy that stays when one copy goes.
    double workAfterUnload() const { return copies() > 1 ? work / (copies() - 1) : missingModelFactor * work; }

    /// Returns whether requests have lately found no copy of the model.
    bool hasMissedRequests() const { return unplaced >= missedRequestThreshold; }

    /// Returns how urgently the model needs another copy, in milliseconds of work per second.
    double need() const
    {
        return copies() > 0 ? workPerCopy()
                            : missingModelFactor * work + unplacedRequestWork * unplaced + idleModelWork;
    }
};

/// An upstream that stays, as a plan sees it.
struct PlannedUpstream {
    const UpstreamResidency* residency = nullptr;
    const std::set<std::string>* localCopies = nullptr;
    std::vector<ModelIndex> loaded;
    std::vector<ModelIndex> loading;
    double freeMb = 0;
    bool canReceiveOrder = false; ///< carries out no order and gets none in this plan

    bool occupiesMemory(ModelIndex model) const
    {
        return std::find(loaded.begin(), loaded.end(), model) != loaded.end()
            || std::find(loading.begin(), loading.end(), model) != loading.end();
    }

    bool isWeightStoreLoad(const PlannedModel& model) const { return !localCopies || !localCopies->count(model.name); }
};

/// The state of a plan. What the ledger knows by name is looked up once, since a plan compares each model in need with
/// each upstream and runs on the thread that serves requests.
class PlanState {
public:
    PlanState(const std::string& service, const ResidencyTracker& tracker, const DemandEstimator& demand,
        const std::set<std::string>& leaving)
    {
        for (const auto& spec : tracker.engine().models) {
            auto& model = m_models[indexOf(spec.name)];
            model.spec = &spec;
            model.work = demand.workRate(service, spec.name);
            model.unplaced = demand.unplaced(service, spec.name);
        }
        for (const auto& [id, residency] : tracker.upstreams()) {
            const bool isChanging = residency.hasOrderInFlight || residency.isBusy || !residency.loading.empty()
                || !residency.unloading.empty();
            m_changing += isChanging ? 1 : 0;
            if (!leaving.count(id))
                addUpstream(tracker, residency, isChanging);
        }
        m_upstreamCount = tracker.upstreams().size();
    }

    const std::vector<PlannedModel>& models() const { return m_models; }
    const std::vector<PlannedUpstream>& upstreams() const { return m_upstreams; }

    double workOf(const PlannedUpstream& upstream) const
    {
        double out = 0;
        for (const auto* part : { &upstream.loaded, &upstream.loading }) {
            for (const auto model : *part)
                out += m_models[model].workPerCopy();
        }
        return out;
    }

    /// Returns the share of the upstreams that carry out an order or get one in this plan.
    double changingShare() const
    {
        return m_upstreamCount == 0 ? 0 : static_cast<double>(m_changing) / static_cast<double>(m_upstreamCount);
    }

    /// Notes a change of a model that the plan makes on an upstream.
    void applyChange(std::size_t upstream, OrderKind kind, ModelIndex model)
    {
        m_upstreams[upstream].canReceiveOrder = false;
        ++m_changing;
        auto& state = m_models[model];
        if (kind == OrderKind::Load) {
            ++state.loading;
            return;
        }
        --state.loaded;
        state.isUnloadPlanned = true;
    }

private:
    ModelIndex indexOf(const std::string& name)
    {
        const auto [it, isNew] = m_indices.try_emplace(name, m_models.size());
        if (isNew)
            m_models.push_back({ .name = name });
        return it->second;
    }

    void addUpstream(const ResidencyTracker& tracker, const UpstreamResidency& residency, bool isChanging)
    {
        PlannedUpstream out { .residency = &residency, .localCopies = tracker.localCopies(residency.id) };
        for (const auto& name : residency.loaded) {
            out.loaded.push_back(indexOf(name));
            ++m_models[out.loaded.back()].loaded;
        }
        for (const auto& name : residency.loading) {
            out.loading.push_back(indexOf(name));
            ++m_models[out.loading.back()].loading;
        }
        out.canReceiveOrder = residency.isStateKnown && !isChanging && !tracker.unresolvedOrder(residency.id);
        out.freeMb = out.canReceiveOrder ? tracker.freeMb(residency.id) : 0;
        m_upstreams.push_back(std::move(out));
    }

    std::unordered_map<std::string, ModelIndex> m_indices;
    std::vector<PlannedModel> m_models;
    std::vector<PlannedUpstream> m_upstreams; ///< without those that leave
    std::size_t m_upstreamCount = 0; ///< with those that leave
    std::size_t m_changing = 0;
};

/// An upstream on which a model can be loaded, now or after one of its models is unloaded.
struct PlacementOption {
    std::size_t upstream = 0;
    std::optional<ModelIndex> unloaded; ///< model that has to go first; empty if there is room
    bool isWeightStoreLoad = false;
};

/// Returns the upstream that can load the model into free memory: with a copy at hand first, then the least busy.
std::optional<PlacementOption> findFreeMemory(const PlanState& state, ModelIndex wanted, bool isWeightStoreAllowed)
{
    const auto& model = state.models()[wanted];
    std::optional<PlacementOption> best;
    std::pair<bool, double> bestRank;
    for (std::size_t i = 0; i < state.upstreams().size(); ++i) {
        const auto& upstream = state.upstreams()[i];
        if (!upstream.canReceiveOrder || upstream.freeMb < model.spec->sizeMb || upstream.occupiesMemory(wanted))
            continue;
        const bool isWeightStoreLoad = upstream.isWeightStoreLoad(model);
        if (isWeightStoreLoad && !isWeightStoreAllowed)
            continue;
        const std::pair<bool, double> rank { isWeightStoreLoad, state.workOf(upstream) };
        if (best && bestRank <= rank)
            continue;
        best = PlacementOption { .upstream = i, .isWeightStoreLoad = isWeightStoreLoad };
        bestRank = rank;
    }
    return best;
}

/// Returns the copy whose loss costs least and whose upstream could then load the model: with a copy at hand first,
/// since that load takes a fraction of the time and nothing of the weight store's rate. A last copy goes only if there
/// is no other, for a model that requests miss and that is needed more.
std::optional<PlacementOption> findVictim(
    const PlanState& state, ModelIndex wanted, bool isWeightStoreAllowed, const PlannerOptions& options)
{
    const auto& wantedModel = state.models()[wanted];
    const double need = wantedModel.need();
    const bool isMissing = wantedModel.copies() == 0;
    const bool mayUnloadLastCopy = isMissing && wantedModel.hasMissedRequests();
    // The most work that may be left for each copy that stays, and for the model whose last copy goes.
    const double maxRemainingWork
        = isMissing ? std::max(need, options.copyWorkThreshold) : need / options.replacementNeedRatio;
    const double maxRemainingWorkOfLastCopy = need / options.replacementNeedRatio;
    std::optional<PlacementOption> best;
    using Rank = std::tuple<bool, bool, double, double>;
    Rank bestRank;
    for (std::size_t i = 0; i < state.upstreams().size(); ++i) {
        const auto& upstream = state.upstreams()[i];
        if (!upstream.canReceiveOrder || upstream.occupiesMemory(wanted))
            continue;
        const bool isWeightStoreLoad = upstream.isWeightStoreLoad(wantedModel);
        if (isWeightStoreLoad && !isWeightStoreAllowed)
            continue;
        const double upstreamWork = state.workOf(upstream);
        for (const auto victim : upstream.loaded) {
            const auto& model = state.models()[victim];
            const bool isLast = model.copies() < 2;
            const double freeMbAfterUnload = upstream.freeMb + (model.spec ? model.spec->sizeMb : 0);
            if (freeMbAfterUnload < wantedModel.spec->sizeMb || model.isUnloadPlanned)
                continue;
            const double remaining = model.workAfterUnload();
            if (isLast && (!mayUnloadLastCopy || remaining > maxRemainingWorkOfLastCopy))
                continue;
            const Rank rank { isLast, isWeightStoreLoad, remaining, upstreamWork };
            if (remaining > maxRemainingWork || (best && bestRank <= rank))
                continue;
            best = PlacementOption { .upstream = i, .unloaded = victim, .isWeightStoreLoad = isWeightStoreLoad };
            bestRank = rank;
        }
    }
    return best;
}

/// Returns the models of the configuration in the order in which they need another copy.
std::vector<ModelIndex> modelsByNeed(const PlanState& state)
{
    std::vector<std::pair<double, ModelIndex>> needs;
    for (ModelIndex i = 0; i < state.models().size(); ++i) {
        if (state.models()[i].spec)
            needs.emplace_back(state.models()[i].need(), i);
    }
    std::stable_sort(needs.begin(), needs.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<ModelIndex> out;
    out.reserve(needs.size());
    for (const auto& [need, model] : needs)
        out.push_back(model);
    return out;
}

std::optional<PlacementOption> findPlacement(
    const PlanState& state, ModelIndex wanted, bool isWeightStoreAllowed, const PlannerOptions& options)
{
    const auto& model = state.models()[wanted];
    const bool isMissing = model.copies() == 0;
    const double need = model.need();
    if ((!isMissing && need < options.copyWorkThreshold) || model.isAtLoadLimit())
        return std::nullopt;
    const bool hasFewChanges = state.changingShare() < options.maxChangingShare;
    const bool isWeightStoreWorthwhile
        = isWeightStoreAllowed && (isMissing || hasFewChanges || need >= options.weightStoreCopyWorkThreshold);
    auto inFreeMemory = findFreeMemory(state, wanted, isWeightStoreWorthwhile);
    if (inFreeMemory && !inFreeMemory->isWeightStoreLoad)
        return inFreeMemory;
    // A copy at hand is ready in a fraction of the time, also if another model has to go first.
    if (auto local = findVictim(state, wanted, false, options))
        return local;
    return inFreeMemory ? inFreeMemory : findVictim(state, wanted, isWeightStoreWorthwhile, options);
}

} // namespace

std::vector<PlannedChange> planPlacement(const std::string& service, const ResidencyTracker& tracker,
    const DemandEstimator& demand, const std::set<std::string>& leaving, const PlannerOptions& options)
{
    PlanState state(service, tracker, demand, leaving);
    std::vector<PlannedChange> out;
    unsigned weightStoreLoads = tracker.weightStoreLoadAllowance();
    for (const auto wanted : modelsByNeed(state)) {
        const auto option = findPlacement(state, wanted, weightStoreLoads > 0, options);
        if (!option)
            continue;
        if (option->isWeightStoreLoad)
            --weightStoreLoads;
        const auto kind = option->unloaded ? OrderKind::Unload : OrderKind::Load;
        const auto changed = option->unloaded.value_or(wanted);
        out.push_back({ .kind = kind,
            .upstreamId = state.upstreams()[option->upstream].residency->id,
            .model = state.models()[changed].name,
            .workPerCopy = state.models()[wanted].need() });
        state.applyChange(option->upstream, kind, changed);
    }
    return out;
}

AdapterSlotChoice chooseAdapterSlot(const ResidencyTracker& tracker, const AdapterKey& adapter,
    const std::map<AdapterKey, SteadyTime>& lastRequested, const std::set<std::string>& leaving)
{
    const auto lastRequestOf = [&](const AdapterKey& name) {
        auto it = lastRequested.find(name);
        return it == lastRequested.end() ? SteadyTime() : it->second;
    };
    AdapterSlotChoice best;
    unsigned mostFree = 0;
    SteadyTime oldest = SteadyTime::max();
    for (const auto& [id, upstream] : tracker.upstreams()) {
        if (!upstream.isStateKnown || upstream.hasOrderInFlight || leaving.count(id)
            || !upstream.loaded.count(adapter.first) || tracker.unresolvedOrder(id))
            continue;
        const unsigned free = tracker.freeAdapterSlots(id);
        if (free > mostFree) {
            best = AdapterSlotChoice { .upstreamId = id, .evicted = {} };
            mostFree = free;
        }
        if (mostFree > 0)
            continue;
        for (const auto& it : upstream.adapters) {
            if (lastRequestOf(it) < oldest) {
                oldest = lastRequestOf(it);
                best = AdapterSlotChoice { .upstreamId = id, .evicted = it };
            }
        }
    }
    return best;
}

} // namespace bulrushstack
