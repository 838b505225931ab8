#include "bulrushstack/serving/placement_planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace bulrushstack {

namespace {

/// Factor on the work of a model without a copy, so that it counts for more than the same work on a busy copy.
constexpr double missingModelFactor = 3;
/// Work added to the need of a model without a copy for each request that found none, in milliseconds per second.
constexpr double unplacedRequestWork = 300;
/// Need of a model without a copy that gets no requests, in milliseconds of work per second.
constexpr double idleModelWork = 50;
/// Decayed number of unplaced requests from which the requests of a model count as missed.
constexpr double missedRequestThreshold = 0.1;
/// Copies of one model that may always be loading at the same time. The limit is higher if more copies are already
/// loaded.
constexpr unsigned minConcurrentLoadLimit = 2;

/// Index of a model in PlanState::models().
using ModelIndex = std::size_t;

/// Copies of and demand for a model, including the changes already planned.
struct PlannedModel {
    std::string name;
    const ModelSpec* spec = nullptr; ///< Null for a model that was removed from the configuration.
    double work = 0; ///< Demand in milliseconds of upstream time per second.
    double unplaced = 0; ///< Decayed number of requests that found no copy.
    unsigned loaded = 0;
    unsigned loading = 0;
    bool isUnloadPlanned = false; ///< The plan already unloads one copy; it unloads at most one.
    /// Decayed number of streams to be taken up that wait for a copy at their software version, by version.
    std::map<std::string, double> unplacedByVersion;

    unsigned copies() const { return loaded + loading; }

    /// Returns whether no more copies should be loaded until the effect of those being loaded is seen.
    bool isAtLoadLimit() const { return loading >= std::max(minConcurrentLoadLimit, loaded); }

    double workPerCopy() const { return work / std::max(1U, copies()); }

    /// Returns the work per remaining copy after one copy is unloaded, in milliseconds per second. After the last copy
    /// it is the work of the model without a copy.
    double workAfterUnload() const { return copies() > 1 ? work / (copies() - 1) : missingModelFactor * work; }

    /// Returns whether recent requests found no copy of the model.
    bool hasMissedRequests() const { return unplaced >= missedRequestThreshold; }

    /// Returns how much the model needs another copy, in milliseconds of work per second.
    double need() const
    {
        return copies() > 0 ? workPerCopy()
                            : missingModelFactor * work + unplacedRequestWork * unplaced + idleModelWork;
    }
};

/// Snapshot of an upstream that is not draining, used for planning.
struct PlannedUpstream {
    const UpstreamResidency* residency = nullptr;
    const std::set<std::string>* localCopies = nullptr;
    std::vector<ModelIndex> loaded;
    std::vector<ModelIndex> loading;
    double freeMb = 0;
    bool canReceiveOrder = false; ///< Its state is known, no order is in progress and the plan has none for it.

    bool occupiesMemory(ModelIndex model) const
    {
        return std::find(loaded.begin(), loaded.end(), model) != loaded.end()
            || std::find(loading.begin(), loading.end(), model) != loading.end();
    }

    bool isWeightStoreLoad(const PlannedModel& model) const { return !localCopies || !localCopies->count(model.name); }
};

/// A model that needs a copy.
struct Wanted {
    ModelIndex model = 0;
    /// Software version at which streams wait for the model; empty if any upstream may load it.
    std::string softwareVersion;
    double need = 0; ///< in milliseconds of work per second

    bool isAllowed(const PlannedUpstream& upstream) const
    {
        return softwareVersion.empty() || upstream.residency->softwareVersion == softwareVersion;
    }
};

/// Working state of a plan. Models are looked up by name once and then addressed by index, since the planner compares
/// each needed model with each upstream and runs on the thread that serves requests.
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
            model.unplacedByVersion = demand.unplacedByVersion(service, spec.name);
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

    /// Returns the work on an upstream, in milliseconds per second.
    double workOf(const PlannedUpstream& upstream) const
    {
        double out = 0;
        for (const auto* part : { &upstream.loaded, &upstream.loading }) {
            for (const auto model : *part)
                out += m_models[model].workPerCopy();
        }
        return out;
    }

    /// Returns the share of the upstreams that are carrying out an order or get one in this plan.
    double changingShare() const
    {
        return m_upstreamCount == 0 ? 0 : static_cast<double>(m_changing) / static_cast<double>(m_upstreamCount);
    }

    /// Returns whether no upstream that the wanted model may use has a copy of it, loaded or loading.
    bool isMissing(const Wanted& wanted) const
    {
        if (wanted.softwareVersion.empty())
            return m_models[wanted.model].copies() == 0;
        return std::none_of(m_upstreams.begin(), m_upstreams.end(),
            [&](const PlannedUpstream& it) { return wanted.isAllowed(it) && it.occupiesMemory(wanted.model); });
    }

    /// Applies a planned change of a model on an upstream.
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
    std::vector<PlannedUpstream> m_upstreams; ///< Without draining upstreams.
    std::size_t m_upstreamCount = 0; ///< Including draining upstreams.
    std::size_t m_changing = 0; ///< Upstreams with an order in progress or in this plan, including draining ones.
};

/// Upstream on which a model can be loaded, either now or after one of its models is unloaded.
struct PlacementOption {
    std::size_t upstream = 0; ///< Index in PlanState::upstreams().
    std::optional<ModelIndex> unloaded; ///< Model to unload first; empty if the free memory suffices.
    bool isWeightStoreLoad = false; ///< The load reads the weight store.
};

/// Returns the best upstream with enough free memory to load the model. Upstreams with a local copy of the weights come
/// first, then the ones with the least work.
std::optional<PlacementOption> findFreeMemory(const PlanState& state, const Wanted& wanted, bool isWeightStoreAllowed)
{
    const auto& model = state.models()[wanted.model];
    std::optional<PlacementOption> best;
    std::pair<bool, double> bestRank;
    for (std::size_t i = 0; i < state.upstreams().size(); ++i) {
        const auto& upstream = state.upstreams()[i];
        if (!upstream.canReceiveOrder || !wanted.isAllowed(upstream) || upstream.freeMb < model.spec->sizeMb
            || upstream.occupiesMemory(wanted.model))
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

/// Returns the cheapest copy to unload so that its upstream can load the model. Upstreams with a local copy of the
/// weights come first, since such a load takes a fraction of the time and does not count toward the rate limit of the
/// weight store. The last copy of a model is chosen only if there is no other choice, for a model without a copy whose
/// requests are being missed and whose need is greater.
std::optional<PlacementOption> findVictim(
    const PlanState& state, const Wanted& wanted, bool isWeightStoreAllowed, const PlannerOptions& options)
{
    const auto& wantedModel = state.models()[wanted.model];
    const double need = wanted.need;
    const bool isMissing = state.isMissing(wanted);
    const bool hasMissedRequests = !wanted.softwareVersion.empty() || wantedModel.hasMissedRequests();
    const bool mayUnloadLastCopy = isMissing && hasMissedRequests;
    // Upper limits for the work per copy that remains, and for the work of a model that loses its last copy.
    const double maxRemainingWork
        = isMissing ? std::max(need, options.copyWorkThreshold) : need / options.replacementNeedRatio;
    const double maxRemainingWorkOfLastCopy = need / options.replacementNeedRatio;
    std::optional<PlacementOption> best;
    using Rank = std::tuple<bool, bool, double, double>;
    Rank bestRank;
    for (std::size_t i = 0; i < state.upstreams().size(); ++i) {
        const auto& upstream = state.upstreams()[i];
        if (!upstream.canReceiveOrder || !wanted.isAllowed(upstream) || upstream.occupiesMemory(wanted.model))
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

/// Returns the models of the configuration, and those that streams wait for at one software version, sorted by need,
/// highest first.
std::vector<Wanted> wantedByNeed(const PlanState& state)
{
    std::vector<Wanted> out;
    for (ModelIndex i = 0; i < state.models().size(); ++i) {
        const auto& model = state.models()[i];
        if (!model.spec)
            continue;
        // A copy at the software version comes first, since it serves other requests as well.
        for (const auto& [version, unplaced] : model.unplacedByVersion) {
            const double modelNeed = model.copies() == 0 ? model.need() : 0;
            Wanted wanted {
                .model = i, .softwareVersion = version, .need = std::max(modelNeed, unplacedRequestWork * unplaced)
            };
            if (unplaced >= missedRequestThreshold && state.isMissing(wanted))
                out.push_back(std::move(wanted));
        }
        out.push_back({ .model = i, .need = model.need() });
    }
    std::stable_sort(out.begin(), out.end(), [](const Wanted& a, const Wanted& b) { return a.need > b.need; });
    return out;
}

std::optional<PlacementOption> findPlacement(
    const PlanState& state, const Wanted& wanted, bool isWeightStoreAllowed, const PlannerOptions& options)
{
    const auto& model = state.models()[wanted.model];
    const bool isMissing = state.isMissing(wanted);
    const double need = wanted.need;
    if ((!isMissing && need < options.copyWorkThreshold) || model.isAtLoadLimit())
        return std::nullopt;
    const bool hasFewChanges = state.changingShare() < options.maxChangingShare;
    const bool isWeightStoreWorthwhile
        = isWeightStoreAllowed && (isMissing || hasFewChanges || need >= options.weightStoreCopyWorkThreshold);
    auto inFreeMemory = findFreeMemory(state, wanted, isWeightStoreWorthwhile);
    if (inFreeMemory && !inFreeMemory->isWeightStoreLoad)
        return inFreeMemory;
    // Loading from a local copy takes a fraction of the time, even if another model has to be unloaded first.
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
    for (const auto& wanted : wantedByNeed(state)) {
        const auto option = findPlacement(state, wanted, weightStoreLoads > 0, options);
        if (!option)
            continue;
        if (option->isWeightStoreLoad)
            --weightStoreLoads;
        const auto kind = option->unloaded ? OrderKind::Unload : OrderKind::Load;
        const auto changed = option->unloaded.value_or(wanted.model);
        out.push_back({ .kind = kind,
            .upstreamId = state.upstreams()[option->upstream].residency->id,
            .model = state.models()[changed].name,
            .workPerCopy = wanted.need });
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
