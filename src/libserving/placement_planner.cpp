#include "bulrushstack/serving/placement_planner.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace bulrushstack {

namespace {

constexpr double missingWeight = 3; ///< of the work of a model that no upstream can serve, against one that is busy
constexpr double unplacedRequestWork = 300; ///< of a request that waits for its model or was refused
constexpr double idleModelWork = 50; ///< of a missing model that nobody asks for
constexpr double missedRequests = 0.1; ///< requests without a copy, fading with time, above which a model is missed
constexpr unsigned loadsOfOneModel = 2; ///< copies that are loaded at the same time beside as many that serve

/// Place of a model in the tables of a PlanState.
using ModelIndex = std::size_t;

/// The copies and the demand of a model, as far as a plan has gone.
struct PlannedModel {
    std::string name;
    const ModelSpec* spec = nullptr; ///< null for a model that the configuration no longer lists
    double work = 0; ///< milliseconds per second
    double unplaced = 0;
    unsigned held = 0;
    unsigned loading = 0;
    bool isUnloaded = false; ///< the plan has taken a copy already

    unsigned copies() const { return held + loading; }

    /// Returns whether as many copies are being loaded as are sensible before their effect is seen.
    bool isLoadingEnough() const { return loading >= std::max(loadsOfOneModel, held); }

    double workPerCopy() const { return work / std::max(1U, copies()); }

    /// Returns the work for each copy that stays when one copy goes.
    double workAfterUnload() const { return copies() > 1 ? work / (copies() - 1) : missingWeight * work; }

    /// Returns whether requests have lately found no copy of the model.
    bool isAskedFor() const { return unplaced >= missedRequests; }

    /// Returns how urgently the model needs another copy, in milliseconds of work per second.
    double need() const
    {
        return copies() > 0 ? workPerCopy() : missingWeight * work + unplacedRequestWork * unplaced + idleModelWork;
    }
};

/// An upstream that stays, as a plan sees it.
struct PlannedUpstream {
    const UpstreamResidency* residency = nullptr;
    const std::set<std::string>* copiesAtHand = nullptr;
    std::vector<ModelIndex> held;
    std::vector<ModelIndex> loading;
    double freeMb = 0;
    bool canOrder = false; ///< carries out no order and gets none in this plan

    bool charges(ModelIndex model) const
    {
        return std::find(held.begin(), held.end(), model) != held.end()
            || std::find(loading.begin(), loading.end(), model) != loading.end();
    }

    bool isStoreLoad(const PlannedModel& model) const { return !copiesAtHand || !copiesAtHand->count(model.name); }
};

/// The state of a plan. What the ledger knows by name is looked up once, since a plan compares each model in need with
/// each upstream and runs on the thread that serves requests.
class PlanState {
public:
    PlanState(const std::string& service, const ResidencyLedger& ledger, const DemandEstimate& demand,
        const std::set<std::string>& leaving)
    {
        for (const auto& spec : ledger.engine().models) {
            auto& model = m_models[indexOf(spec.name)];
            model.spec = &spec;
            model.work = demand.workRate(service, spec.name);
            model.unplaced = demand.unplaced(service, spec.name);
        }
        for (const auto& [id, residency] : ledger.upstreams()) {
            const bool isChanging = residency.isOrdering || residency.isBusy || !residency.loading.empty()
                || !residency.unloading.empty();
            m_changing += isChanging ? 1 : 0;
            if (!leaving.count(id))
                addUpstream(ledger, residency, isChanging);
        }
        m_upstreamCount = ledger.upstreams().size();
    }

    const std::vector<PlannedModel>& models() const { return m_models; }
    const std::vector<PlannedUpstream>& upstreams() const { return m_upstreams; }

    double workOf(const PlannedUpstream& upstream) const
    {
        double out = 0;
        for (const auto* part : { &upstream.held, &upstream.loading }) {
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
    void use(std::size_t upstream, OrderKind kind, ModelIndex model)
    {
        m_upstreams[upstream].canOrder = false;
        ++m_changing;
        auto& state = m_models[model];
        if (kind == OrderKind::Load) {
            ++state.loading;
            return;
        }
        --state.held;
        state.isUnloaded = true;
    }

private:
    ModelIndex indexOf(const std::string& name)
    {
        const auto [it, isNew] = m_indices.try_emplace(name, m_models.size());
        if (isNew)
            m_models.push_back({ .name = name });
        return it->second;
    }

    void addUpstream(const ResidencyLedger& ledger, const UpstreamResidency& residency, bool isChanging)
    {
        PlannedUpstream out { .residency = &residency, .copiesAtHand = ledger.copiesAtHand(residency.id) };
        for (const auto& name : residency.held) {
            out.held.push_back(indexOf(name));
            ++m_models[out.held.back()].held;
        }
        for (const auto& name : residency.loading) {
            out.loading.push_back(indexOf(name));
            ++m_models[out.loading.back()].loading;
        }
        out.canOrder = residency.isKnown && !isChanging && !ledger.unsettled(residency.id);
        out.freeMb = out.canOrder ? ledger.freeMb(residency.id) : 0;
        m_upstreams.push_back(std::move(out));
    }

    std::unordered_map<std::string, ModelIndex> m_indices;
    std::vector<PlannedModel> m_models;
    std::vector<PlannedUpstream> m_upstreams; ///< without those that leave
    std::size_t m_upstreamCount = 0; ///< with those that leave
    std::size_t m_changing = 0;
};

/// An upstream on which a model can be loaded, now or after one of its models is unloaded.
struct Place {
    std::size_t upstream = 0;
    std::optional<ModelIndex> unloaded; ///< model that has to go first; empty if there is room
    bool isStoreLoad = false;
};

/// Returns the upstream that can load the model into free memory: with a copy at hand first, then the least busy.
std::optional<Place> findRoom(const PlanState& state, ModelIndex wanted, bool isStoreAllowed)
{
    const auto& model = state.models()[wanted];
    std::optional<Place> best;
    std::pair<bool, double> bestRank;
    for (std::size_t i = 0; i < state.upstreams().size(); ++i) {
        const auto& upstream = state.upstreams()[i];
        if (!upstream.canOrder || upstream.freeMb < model.spec->sizeMb || upstream.charges(wanted))
            continue;
        const bool isStoreLoad = upstream.isStoreLoad(model);
        if (isStoreLoad && !isStoreAllowed)
            continue;
        const std::pair<bool, double> rank { isStoreLoad, state.workOf(upstream) };
        if (best && bestRank <= rank)
            continue;
        best = Place { .upstream = i, .isStoreLoad = isStoreLoad };
        bestRank = rank;
    }
    return best;
}

/// Returns the copy whose loss costs least and whose upstream could then load the model: with a copy at hand first,
/// since that load takes a fraction of the time and nothing of the weight store's rate. A last copy goes only if there
/// is no other, for a model that requests miss and that is needed more.
std::optional<Place> findVictim(
    const PlanState& state, ModelIndex wanted, bool isStoreAllowed, const PlannerOptions& options)
{
    const auto& wantedModel = state.models()[wanted];
    const double need = wantedModel.need();
    const bool isMissing = wantedModel.copies() == 0;
    const bool mayTakeLast = isMissing && wantedModel.isAskedFor();
    // The most work that may be left for each copy that stays, and for the model whose last copy goes.
    const double mostRemaining = isMissing ? std::max(need, options.busyCopyWork) : need / options.replaceRatio;
    const double mostOfLast = need / options.replaceRatio;
    std::optional<Place> best;
    using Rank = std::tuple<bool, bool, double, double>;
    Rank bestRank;
    for (std::size_t i = 0; i < state.upstreams().size(); ++i) {
        const auto& upstream = state.upstreams()[i];
        if (!upstream.canOrder || upstream.charges(wanted))
            continue;
        const bool isStoreLoad = upstream.isStoreLoad(wantedModel);
        if (isStoreLoad && !isStoreAllowed)
            continue;
        const double upstreamWork = state.workOf(upstream);
        for (const auto victim : upstream.held) {
            const auto& model = state.models()[victim];
            const bool isLast = model.copies() < 2;
            const double freed = upstream.freeMb + (model.spec ? model.spec->sizeMb : 0);
            if (freed < wantedModel.spec->sizeMb || model.isUnloaded)
                continue;
            const double remaining = model.workAfterUnload();
            if (isLast && (!mayTakeLast || remaining > mostOfLast))
                continue;
            const Rank rank { isLast, isStoreLoad, remaining, upstreamWork };
            if (remaining > mostRemaining || (best && bestRank <= rank))
                continue;
            best = Place { .upstream = i, .unloaded = victim, .isStoreLoad = isStoreLoad };
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

std::optional<Place> findPlace(
    const PlanState& state, ModelIndex wanted, bool isStoreAllowed, const PlannerOptions& options)
{
    const auto& model = state.models()[wanted];
    const bool isMissing = model.copies() == 0;
    const double need = model.need();
    if ((!isMissing && need < options.busyCopyWork) || model.isLoadingEnough())
        return std::nullopt;
    const bool isCalm = state.changingShare() < options.calmShare;
    const bool isStoreSensible = isStoreAllowed && (isMissing || isCalm || need >= options.storeCopyWork);
    auto room = findRoom(state, wanted, isStoreSensible);
    if (room && !room->isStoreLoad)
        return room;
    // A copy at hand is ready in a fraction of the time, also if another model has to go first.
    if (auto local = findVictim(state, wanted, false, options))
        return local;
    return room ? room : findVictim(state, wanted, isStoreSensible, options);
}

} // namespace

std::vector<PlannedChange> planPlacement(const std::string& service, const ResidencyLedger& ledger,
    const DemandEstimate& demand, const std::set<std::string>& leaving, const PlannerOptions& options)
{
    PlanState state(service, ledger, demand, leaving);
    std::vector<PlannedChange> out;
    unsigned storeLoads = ledger.storeLoadAllowance();
    for (const auto wanted : modelsByNeed(state)) {
        const auto place = findPlace(state, wanted, storeLoads > 0, options);
        if (!place)
            continue;
        if (place->isStoreLoad)
            --storeLoads;
        const auto kind = place->unloaded ? OrderKind::Unload : OrderKind::Load;
        const auto changed = place->unloaded.value_or(wanted);
        out.push_back({ .kind = kind,
            .upstreamId = state.upstreams()[place->upstream].residency->id,
            .model = state.models()[changed].name,
            .workPerCopy = state.models()[wanted].need() });
        state.use(place->upstream, kind, changed);
    }
    return out;
}

AdapterChoice chooseAdapterPlace(const ResidencyLedger& ledger, const AdapterName& adapter,
    const std::map<AdapterName, SteadyTime>& asked, const std::set<std::string>& leaving)
{
    const auto lastAsked = [&](const AdapterName& name) {
        auto it = asked.find(name);
        return it == asked.end() ? SteadyTime() : it->second;
    };
    AdapterChoice best;
    unsigned mostFree = 0;
    SteadyTime oldest = SteadyTime::max();
    for (const auto& [id, upstream] : ledger.upstreams()) {
        if (!upstream.isKnown || upstream.isOrdering || leaving.count(id) || !upstream.held.count(adapter.first)
            || ledger.unsettled(id))
            continue;
        const unsigned free = ledger.freeAdapterPlaces(id);
        if (free > mostFree) {
            best = AdapterChoice { .upstreamId = id, .evicted = {} };
            mostFree = free;
        }
        if (mostFree > 0)
            continue;
        for (const auto& it : upstream.adapters) {
            if (lastAsked(it) < oldest) {
                oldest = lastAsked(it);
                best = AdapterChoice { .upstreamId = id, .evicted = it };
            }
        }
    }
    return best;
}

} // namespace bulrushstack
