#include "bulrushstack/serving/placement_planner.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace bulrushstack {

namespace {

constexpr double missingWeight = 3; ///< of the work of a model that no upstream can serve, against one that is busy
constexpr double unplacedRequestWork = 300; ///< of a request that waits for its model or was refused
constexpr double idleModelWork = 50; ///< of a missing model that nobody asks for
constexpr double missedRequests = 0.1; ///< requests without a copy, fading with time, above which a model is missed
constexpr unsigned loadsOfOneModel = 2; ///< copies that are loaded at the same time beside as many that serve

/// The copies and the demand of each model, as far as a plan has gone.
class PlanState {
public:
    PlanState(const std::string& service, const ResidencyLedger& ledger, const DemandEstimate& demand,
        const std::set<std::string>& leaving)
        : m_ledger(ledger)
        , m_leaving(leaving)
    {
        for (const auto& model : ledger.engine().models) {
            auto& state = m_models[model.name];
            state.work = demand.workRate(service, model.name);
            state.unplaced = demand.unplaced(service, model.name);
        }
        for (const auto& [id, upstream] : ledger.upstreams()) {
            if (leaving.count(id))
                continue;
            for (const auto& it : upstream.held)
                ++m_models[it].held;
            for (const auto& it : upstream.loading)
                ++m_models[it].loading;
        }
    }

    unsigned copies(const std::string& model) const { return find(model).held + find(model).loading; }

    /// Returns whether as many copies are being loaded as are sensible before their effect is seen.
    bool isLoadingEnough(const std::string& model) const
    {
        return find(model).loading >= std::max(loadsOfOneModel, find(model).held);
    }

    double workPerCopy(const std::string& model) const { return find(model).work / std::max(1U, copies(model)); }

    /// Returns the work for each copy that stays when one copy goes.
    double workAfterUnload(const std::string& model) const
    {
        const unsigned n = copies(model);
        return n > 1 ? find(model).work / (n - 1) : missingWeight * find(model).work;
    }

    /// Returns whether requests have lately found no copy of the model.
    bool isAskedFor(const std::string& model) const { return find(model).unplaced >= missedRequests; }

    /// Returns how urgently a model needs another copy, in milliseconds of work per second.
    double need(const std::string& model) const
    {
        if (copies(model) > 0)
            return workPerCopy(model);
        return missingWeight * find(model).work + unplacedRequestWork * find(model).unplaced + idleModelWork;
    }

    double workOf(const UpstreamResidency& upstream) const
    {
        double out = 0;
        for (const auto* part : { &upstream.held, &upstream.loading }) {
            for (const auto& model : *part)
                out += workPerCopy(model);
        }
        return out;
    }

    bool canOrder(const UpstreamResidency& upstream) const
    {
        return upstream.isKnown && !upstream.isOrdering && !upstream.isBusy && upstream.loading.empty()
            && upstream.unloading.empty() && !m_leaving.count(upstream.id) && !m_used.count(upstream.id)
            && !m_ledger.unsettled(upstream.id);
    }

    /// Returns how many upstreams carry out an order or get one in this plan.
    std::size_t changing() const
    {
        const auto& all = m_ledger.upstreams();
        const auto busy = std::count_if(all.begin(), all.end(), [](const auto& it) {
            return it.second.isOrdering || it.second.isBusy || !it.second.loading.empty()
                || !it.second.unloading.empty();
        });
        return static_cast<std::size_t>(busy) + m_used.size();
    }

    /// Returns whether the plan has taken a copy of the model already.
    bool isUnloaded(const std::string& model) const { return find(model).isUnloaded; }

    void use(const PlannedChange& change)
    {
        m_used.insert(change.upstreamId);
        auto& state = m_models[change.model];
        if (change.kind == OrderKind::Load) {
            ++state.loading;
            return;
        }
        --state.held;
        state.isUnloaded = true;
    }

    const ResidencyLedger& ledger() const { return m_ledger; }

private:
    struct ModelState {
        double work = 0;
        double unplaced = 0;
        unsigned held = 0;
        unsigned loading = 0;
        bool isUnloaded = false;
    };

    const ModelState& find(const std::string& model) const
    {
        static const ModelState unknown;
        auto it = m_models.find(model);
        return it == m_models.end() ? unknown : it->second;
    }

    const ResidencyLedger& m_ledger;
    const std::set<std::string>& m_leaving;
    std::map<std::string, ModelState> m_models;
    std::set<std::string> m_used; ///< upstreams that get an order in this plan
};

/// An upstream on which a model can be loaded, now or after one of its models is unloaded.
struct Place {
    const UpstreamResidency* upstream = nullptr;
    std::string unloaded; ///< model that has to go first; empty if there is room
    bool isStoreLoad = false;
};

/// Returns the upstream that can load the model into free memory: with a copy at hand first, then the least busy.
std::optional<Place> findRoom(const PlanState& state, const ModelSpec& model, bool isStoreAllowed)
{
    std::optional<Place> best;
    std::pair<bool, double> bestRank;
    for (const auto& [id, upstream] : state.ledger().upstreams()) {
        if (!state.canOrder(upstream) || upstream.charges(model.name) || state.ledger().freeMb(id) < model.sizeMb)
            continue;
        const bool isStoreLoad = state.ledger().isStoreLoad(id, model.name);
        const std::pair<bool, double> rank { isStoreLoad, state.workOf(upstream) };
        if ((isStoreLoad && !isStoreAllowed) || (best && bestRank <= rank))
            continue;
        best = Place { .upstream = &upstream, .unloaded = {}, .isStoreLoad = isStoreLoad };
        bestRank = rank;
    }
    return best;
}

/// Returns the copy whose loss costs least and whose upstream could then load the model: with a copy at hand first,
/// since that load takes a fraction of the time and nothing of the weight store's rate. A last copy goes only if there
/// is no other, for a model that requests miss and that is needed more.
std::optional<Place> findVictim(
    const PlanState& state, const ModelSpec& wanted, bool isStoreAllowed, const PlannerOptions& options)
{
    const double need = state.need(wanted.name);
    const bool isMissing = state.copies(wanted.name) == 0;
    const bool mayTakeLast = isMissing && state.isAskedFor(wanted.name);
    // The most work that may be left for each copy that stays, and for the model whose last copy goes.
    const double mostRemaining = isMissing ? std::max(need, options.busyCopyWork) : need / options.replaceRatio;
    const double mostOfLast = need / options.replaceRatio;
    std::optional<Place> best;
    using Rank = std::tuple<bool, bool, double, double>;
    Rank bestRank;
    for (const auto& [id, upstream] : state.ledger().upstreams()) {
        const bool isStoreLoad = state.ledger().isStoreLoad(id, wanted.name);
        if (!state.canOrder(upstream) || upstream.charges(wanted.name) || (isStoreLoad && !isStoreAllowed))
            continue;
        for (const auto& model : upstream.held) {
            const auto* spec = state.ledger().engine().findModel(model);
            const double freed = state.ledger().freeMb(id) + (spec ? spec->sizeMb : 0);
            const bool isLast = state.copies(model) < 2;
            if (freed < wanted.sizeMb || state.isUnloaded(model))
                continue;
            const double remaining = state.workAfterUnload(model);
            if (isLast && (!mayTakeLast || remaining > mostOfLast))
                continue;
            const Rank rank { isLast, isStoreLoad, remaining, state.workOf(upstream) };
            if (remaining > mostRemaining || (best && bestRank <= rank))
                continue;
            best = Place { .upstream = &upstream, .unloaded = model, .isStoreLoad = isStoreLoad };
            bestRank = rank;
        }
    }
    return best;
}

/// Returns the models in the order in which they need another copy.
std::vector<const ModelSpec*> modelsByNeed(const PlanState& state)
{
    std::vector<const ModelSpec*> out;
    for (const auto& model : state.ledger().engine().models)
        out.push_back(&model);
    std::stable_sort(out.begin(), out.end(),
        [&](const auto* a, const auto* b) { return state.need(a->name) > state.need(b->name); });
    return out;
}

std::optional<Place> findPlace(
    const PlanState& state, const ModelSpec& model, bool isStoreAllowed, const PlannerOptions& options)
{
    const bool isMissing = state.copies(model.name) == 0;
    const double need = state.need(model.name);
    if ((!isMissing && need < options.busyCopyWork) || state.isLoadingEnough(model.name))
        return std::nullopt;
    const bool isCalm = state.changing() < state.ledger().upstreams().size() * options.calmShare;
    const bool isStoreSensible = isStoreAllowed && (isMissing || isCalm || need >= options.storeCopyWork);
    auto room = findRoom(state, model, isStoreSensible);
    if (room && !room->isStoreLoad)
        return room;
    // A copy at hand is ready in a fraction of the time, also if another model has to go first.
    if (auto local = findVictim(state, model, false, options))
        return local;
    return room ? room : findVictim(state, model, isStoreSensible, options);
}

} // namespace

std::vector<PlannedChange> planPlacement(const std::string& service, const ResidencyLedger& ledger,
    const DemandEstimate& demand, const std::set<std::string>& leaving, const PlannerOptions& options)
{
    PlanState state(service, ledger, demand, leaving);
    std::vector<PlannedChange> out;
    unsigned storeLoads = ledger.storeLoadAllowance();
    for (const auto* model : modelsByNeed(state)) {
        const auto place = findPlace(state, *model, storeLoads > 0, options);
        if (!place)
            continue;
        if (place->isStoreLoad)
            --storeLoads;
        PlannedChange change { OrderKind::Load, place->upstream->id, model->name, state.need(model->name) };
        if (!place->unloaded.empty()) {
            change.kind = OrderKind::Unload;
            change.model = place->unloaded;
        }
        state.use(change);
        out.push_back(std::move(change));
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
