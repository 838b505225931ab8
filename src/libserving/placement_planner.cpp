#include "bulrushstack/serving/placement_planner.h"

#include <algorithm>
#include <optional>

namespace bulrushstack {

namespace {

/// The copies and the demand of each model, as far as a plan has gone.
class PlanState {
public:
    PlanState(const std::string& service, const ResidencyLedger& ledger, const DemandEstimate& demand,
        const std::set<std::string>& leaving)
        : m_ledger(ledger)
        , m_leaving(leaving)
    {
        for (const auto& model : ledger.engine().models) {
            m_work[model.name] = demand.workRate(service, model.name);
            m_unplaced[model.name] = demand.unplaced(service, model.name);
            m_copies[model.name] = 0;
        }
        for (const auto& [id, upstream] : ledger.upstreams()) {
            if (leaving.count(id))
                continue;
            for (const auto& it : upstream.held)
                ++m_copies[it];
            for (const auto& it : upstream.loading)
                ++m_copies[it];
        }
    }

    double work(const std::string& model) const
    {
        auto it = m_work.find(model);
        return it == m_work.end() ? 0 : it->second;
    }

    double unplaced(const std::string& model) const
    {
        auto it = m_unplaced.find(model);
        return it == m_unplaced.end() ? 0 : it->second;
    }

    unsigned copies(const std::string& model) const
    {
        auto it = m_copies.find(model);
        return it == m_copies.end() ? 0 : it->second;
    }

    double workPerCopy(const std::string& model) const { return work(model) / std::max(1U, copies(model)); }

    /// Returns the work for each copy that stays when one copy goes.
    double workAfterUnload(const std::string& model) const { return work(model) / (copies(model) - 1.0); }

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

    void use(const PlannedChange& change)
    {
        m_used.insert(change.upstreamId);
        if (change.kind == OrderKind::Load)
            ++m_copies[change.model];
        else
            --m_copies[change.model];
    }

    const ResidencyLedger& ledger() const { return m_ledger; }

private:
    const ResidencyLedger& m_ledger;
    const std::set<std::string>& m_leaving;
    std::map<std::string, double> m_work;
    std::map<std::string, double> m_unplaced;
    std::map<std::string, unsigned> m_copies;
    std::set<std::string> m_used;
};

/// Returns the upstream that can load the model into free memory: with a copy at hand first, then the least busy.
const UpstreamResidency* findRoom(const PlanState& state, const ModelSpec& model, bool isStoreAllowed)
{
    const UpstreamResidency* best = nullptr;
    std::pair<bool, double> bestRank;
    for (const auto& [id, upstream] : state.ledger().upstreams()) {
        if (!state.canOrder(upstream) || upstream.charges(model.name) || state.ledger().freeMb(id) < model.weightsMb)
            continue;
        const bool isStoreLoad = state.ledger().isStoreLoad(id, model.name);
        if (isStoreLoad && !isStoreAllowed)
            continue;
        const std::pair<bool, double> rank { isStoreLoad, state.workOf(upstream) };
        if (!best || rank < bestRank) {
            best = &upstream;
            bestRank = rank;
        }
    }
    return best;
}

struct Victim {
    const UpstreamResidency* upstream = nullptr;
    std::string model;
    double remainingWork = 0; ///< for each copy that stays
};

/// Returns the copy whose loss costs least and whose upstream could then load the model.
std::optional<Victim> findVictim(const PlanState& state, const ModelSpec& wanted, bool isStoreAllowed)
{
    std::optional<Victim> best;
    std::tuple<double, bool, double> bestRank;
    for (const auto& [id, upstream] : state.ledger().upstreams()) {
        if (!state.canOrder(upstream) || upstream.charges(wanted.name))
            continue;
        const bool isStoreLoad = state.ledger().isStoreLoad(id, wanted.name);
        if (isStoreLoad && !isStoreAllowed)
            continue;
        for (const auto& model : upstream.held) {
            const auto* spec = state.ledger().engine().findModel(model);
            const double freed = state.ledger().freeMb(id) + (spec ? spec->weightsMb : 0);
            if (state.copies(model) < 2 || freed < wanted.weightsMb)
                continue;
            const double remaining = state.workAfterUnload(model);
            const std::tuple<double, bool, double> rank { remaining, isStoreLoad, state.workOf(upstream) };
            if (!best || rank < bestRank) {
                best = Victim { .upstream = &upstream, .model = model, .remainingWork = remaining };
                bestRank = rank;
            }
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
    const auto rank = [&](const ModelSpec* model) {
        return std::tuple(
            state.copies(model->name) == 0 ? 0 : 1, -state.unplaced(model->name), -state.workPerCopy(model->name));
    };
    std::stable_sort(out.begin(), out.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    return out;
}

std::optional<PlannedChange> planModel(const PlanState& state, const ModelSpec& model, const PlannerOptions& options)
{
    const bool isMissing = state.copies(model.name) == 0;
    const double need = state.workPerCopy(model.name);
    if (!isMissing && need < options.busyCopyWork)
        return std::nullopt;
    const bool isStoreAllowed = state.ledger().storeLoadAllowance() > 0;
    if (const auto* upstream = findRoom(state, model, isStoreAllowed))
        return PlannedChange { OrderKind::Load, upstream->id, model.name, need };
    const auto victim = findVictim(state, model, isStoreAllowed);
    if (!victim)
        return std::nullopt;
    if (!isMissing && need < options.replaceRatio * victim->remainingWork)
        return std::nullopt;
    return PlannedChange { OrderKind::Unload, victim->upstream->id, victim->model, need };
}

} // namespace

std::vector<PlannedChange> planPlacement(const std::string& service, const ResidencyLedger& ledger,
    const DemandEstimate& demand, const std::set<std::string>& leaving, const PlannerOptions& options)
{
    PlanState state(service, ledger, demand, leaving);
    std::vector<PlannedChange> out;
    unsigned storeLoads = 0;
    for (const auto* model : modelsByNeed(state)) {
        const auto change = planModel(state, *model, options);
        if (!change)
            continue;
        if (change->kind == OrderKind::Load && ledger.isStoreLoad(change->upstreamId, change->model)
            && ++storeLoads > ledger.storeLoadAllowance())
            continue;
        state.use(*change);
        out.push_back(*change);
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
