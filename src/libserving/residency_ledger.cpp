#include "bulrushstack/serving/residency_ledger.h"

#include <algorithm>
#include <cmath>

namespace bulrushstack {

namespace {

/// Pause before an order is tried again after a conflict or a lost answer.
constexpr std::chrono::milliseconds retryPause { 300 };

/// Span over which the rate of the weight store is kept.
constexpr std::chrono::seconds loadWindow { 5 };

} // namespace

ResidencyLedger::ResidencyLedger(const Clock& clock, EngineSpec engine)
    : m_clock(clock)
{
    setEngine(std::move(engine));
}

void ResidencyLedger::setEngine(EngineSpec engine)
{
    if (m_engine == engine && !m_sizesMb.empty())
        return;
    m_engine = std::move(engine);
    m_sizesMb.clear();
    m_largestMb = 0;
    double largestAdapterMb = 0;
    for (const auto& model : m_engine.models) {
        m_sizesMb.emplace(model.name, model.sizeMb);
        m_largestMb = std::max(m_largestMb, model.sizeMb);
        largestAdapterMb = std::max(largestAdapterMb, model.adapterSizeMb);
    }
    m_adapterReserveMb = largestAdapterMb * m_engine.adapterPlaces;
}

double ResidencyLedger::sizeOf(const std::string& model) const
{
    const auto it = m_sizesMb.find(model);
    // A model that the configuration no longer lists still takes memory; the largest listed one is a safe guess.
    return it == m_sizesMb.end() ? m_largestMb : it->second;
}

void ResidencyLedger::update(const std::vector<const UpstreamEntry*>& entries)
{
    std::set<std::string> present;
    for (const auto* entry : entries) {
        present.insert(entry->id);
        auto [it, isNew] = m_upstreams.try_emplace(entry->id);
        auto& upstream = it->second;
        auto& member = m_members[entry->id];
        member.localCopies.clear();
        member.localCopies.insert(entry->modelsOnDisk.begin(), entry->modelsOnDisk.end());
        member.localCopies.insert(entry->modelsInHostMemory.begin(), entry->modelsInHostMemory.end());
        if (isNew || upstream.startedAt != entry->startedAt) {
            upstream = UpstreamResidency { .id = entry->id, .startedAt = entry->startedAt };
            member.pending.reset();
            for (const auto& model : entry->models)
                upstream.held.insert(model.name);
        } else if (member.described != entry->models) {
            takeDescription(upstream, entry->models);
        }
        member.described = entry->models;
    }
    std::erase_if(m_upstreams, [&](const auto& it) { return !present.count(it.first); });
    std::erase_if(m_members, [&](const auto& it) { return !present.count(it.first); });
}

/// A description may be older than what was ordered or reported since. It therefore only tells that a load has ended;
/// whatever would free memory is asked for first.
void ResidencyLedger::takeDescription(UpstreamResidency& upstream, const std::vector<HeldModel>& models)
{
    std::set<std::string> shown;
    for (const auto& it : models) {
        shown.insert(it.name);
        if (upstream.loading.erase(it.name)) {
            upstream.held.insert(it.name);
        } else if (!upstream.charges(it.name)) {
            upstream.held.insert(it.name);
            upstream.isKnown = false;
        }
    }
    for (const auto* part : { &upstream.held, &upstream.unloading }) {
        for (const auto& model : *part)
            upstream.isKnown = upstream.isKnown && shown.count(model);
    }
    if (upstream.loading.empty() && upstream.unloading.empty())
        endBusy(upstream);
}

void ResidencyLedger::endBusy(UpstreamResidency& upstream)
{
    upstream.isBusy = false;
    upstream.busySince.reset();
}

void ResidencyLedger::noteReport(const std::string& id, const UpstreamReport& report)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    auto& upstream = it->second;
    const auto& pending = m_members[id].pending;
    upstream.retryFrom = m_clock.now() + retryPause;
    if (report.ordersAccepted < upstream.ordersAccepted)
        return; // reports lag behind; this one does not know the last order yet
    upstream.ordersAccepted = report.ordersAccepted;
    if (!report.isBusy && !pending) {
        upstream.loading.clear();
        upstream.unloading.clear();
    }
    upstream.held.clear();
    upstream.adapters.clear();
    for (const auto& model : report.models) {
        upstream.loading.erase(model.name);
        if (!upstream.unloading.count(model.name))
            upstream.held.insert(model.name);
        for (const auto& adapter : model.adapters)
            upstream.adapters.insert({ model.name, adapter });
    }
    for (const auto& name : report.arrivingAdapters) {
        const auto slash = name.find('/');
        if (slash != std::string::npos)
            upstream.adapters.insert({ name.substr(0, slash), name.substr(slash + 1, name.find('@') - slash - 1) });
    }
    if (pending && pending->kind == OrderKind::Load && !pending->adapter.empty())
        upstream.adapters.insert({ pending->model, pending->adapter });
    upstream.isBusy = report.isBusy;
    if (!report.isBusy)
        endBusy(upstream);
    else if (!upstream.busySince)
        upstream.busySince = m_clock.now();
    // A load that another holder ordered is not named; its memory is not known until it has ended. An unload that is
    // still under way is asked for again as well.
    upstream.isKnown = !report.isBusy || !upstream.loading.empty();
}

double ResidencyLedger::freeMb(const std::string& id) const
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return 0;
    const auto& upstream = it->second;
    double used = 0;
    for (const auto* part : { &upstream.held, &upstream.loading, &upstream.unloading }) {
        for (const auto& model : *part)
            used += sizeOf(model);
    }
    return m_engine.memoryMb - used - m_adapterReserveMb;
}

unsigned ResidencyLedger::freeAdapterPlaces(const std::string& id) const
{
    const auto* upstream = find(id);
    const auto used = upstream ? upstream->adapters.size() : m_engine.adapterPlaces;
    return used >= m_engine.adapterPlaces ? 0 : m_engine.adapterPlaces - static_cast<unsigned>(used);
}

void ResidencyLedger::noteAdapterAbsent(const std::string& id, const AdapterName& adapter)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end() || !it->second.adapters.count(adapter) || it->second.isOrdering)
        return;
    it->second.isKnown = false;
}

void ResidencyLedger::distrust(const std::string& id)
{
    auto it = m_upstreams.find(id);
    if (it != m_upstreams.end())
        it->second.isKnown = false;
}

std::string ResidencyLedger::findAdapter(const AdapterName& adapter, const std::set<std::string>& leaving) const
{
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream.isKnown && !leaving.count(id) && upstream.held.count(adapter.first)
            && upstream.adapters.count(adapter))
            return id;
    }
    return {};
}

bool ResidencyLedger::fits(const UpstreamOrder& order) const
{
    const auto* upstream = find(order.upstreamId);
    if (!upstream)
        return false;
    if (order.kind == OrderKind::Unload)
        return true;
    if (order.adapter.empty())
        return upstream->charges(order.model) || freeMb(order.upstreamId) >= sizeOf(order.model);
    return upstream->held.count(order.model)
        && (upstream->adapters.count({ order.model, order.adapter }) || freeAdapterPlaces(order.upstreamId) > 0);
}

UpstreamOrder ResidencyLedger::begin(UpstreamOrder order)
{
    auto& upstream = m_upstreams.at(order.upstreamId);
    auto& member = m_members[order.upstreamId];
    while (!m_storeLoads.empty() && m_clock.now() - m_storeLoads.front() > loadWindow)
        m_storeLoads.pop_front();
    if (member.pending) {
        // A repetition keeps the expected count, so that at most one of the two is accepted.
        order.expectedOrders = member.pending->expectedOrders;
    } else {
        order.expectedOrders = upstream.ordersAccepted;
        if (order.kind == OrderKind::Load && order.adapter.empty() && isStoreLoad(order.upstreamId, order.model))
            m_storeLoads.push_back(m_clock.now());
    }
    member.pending = order;
    upstream.isOrdering = true;
    if (order.kind == OrderKind::Load && order.adapter.empty() && !upstream.held.count(order.model))
        upstream.loading.insert(order.model);
    if (order.kind == OrderKind::Load && !order.adapter.empty())
        upstream.adapters.insert({ order.model, order.adapter });
    if (order.kind == OrderKind::Unload && order.adapter.empty()) {
        upstream.held.erase(order.model);
        upstream.unloading.insert(order.model);
    }
    return order;
}

void ResidencyLedger::applyAccepted(UpstreamResidency& upstream, const UpstreamOrder& order, bool isCarriedOut) const
{
    const AdapterName name { order.model, order.adapter };
    if (!order.adapter.empty()) {
        if (order.kind == OrderKind::Unload)
            upstream.adapters.erase(name);
        return;
    }
    if (!isCarriedOut) {
        upstream.isBusy = true;
        upstream.busySince = m_clock.now();
        return;
    }
    if (order.kind == OrderKind::Load) {
        upstream.loading.erase(order.model);
        upstream.held.insert(order.model);
    } else {
        upstream.unloading.erase(order.model);
    }
}

void ResidencyLedger::finish(const UpstreamOrder& order, OrderAnswer answer)
{
    auto it = m_upstreams.find(order.upstreamId);
    if (it == m_upstreams.end())
        return;
    auto& upstream = it->second;
    auto& member = m_members[order.upstreamId];
    upstream.isOrdering = false;
    if (!member.pending)
        return; // the upstream started anew meanwhile
    switch (answer) {
    case OrderAnswer::Accepted:
        upstream.ordersAccepted = std::max(upstream.ordersAccepted, order.expectedOrders + 1);
        applyAccepted(upstream, order, false);
        member.pending.reset();
        break;
    case OrderAnswer::AlreadyHolds:
        // Unloading an adapter is carried out at once and counts as an accepted order.
        if (order.kind == OrderKind::Unload && !order.adapter.empty())
            upstream.ordersAccepted = std::max(upstream.ordersAccepted, order.expectedOrders + 1);
        applyAccepted(upstream, order, true);
        member.pending.reset();
        break;
    case OrderAnswer::Rejected:
    case OrderAnswer::Conflict:
        // Neither this order nor an earlier copy can take effect any more, or an earlier copy already did: the state
        // is read again before the next order. The charge stays until then.
        member.pending.reset();
        upstream.isKnown = false;
        upstream.retryFrom = m_clock.now() + retryPause;
        break;
    case OrderAnswer::Unknown:
        upstream.retryFrom = m_clock.now() + retryPause;
        break;
    }
}

std::optional<UpstreamOrder> ResidencyLedger::unsettled(const std::string& id) const
{
    auto it = m_members.find(id);
    const auto* upstream = find(id);
    return it == m_members.end() || !upstream || upstream->isOrdering ? std::nullopt : it->second.pending;
}

bool ResidencyLedger::isStoreLoad(const std::string& id, const std::string& model) const
{
    auto it = m_members.find(id);
    return it == m_members.end() || !it->second.localCopies.count(model);
}

const std::set<std::string>* ResidencyLedger::copiesAtHand(const std::string& id) const
{
    auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second.localCopies;
}

unsigned ResidencyLedger::storeLoadAllowance() const
{
    const auto from = m_clock.now() - loadWindow;
    const auto recent = std::count_if(m_storeLoads.begin(), m_storeLoads.end(), [&](auto time) { return time > from; });
    const double allowed = std::floor(m_engine.loadsPerSecond * loadWindow.count() + 1);
    return recent >= allowed ? 0 : static_cast<unsigned>(allowed) - static_cast<unsigned>(recent);
}

const UpstreamResidency* ResidencyLedger::find(const std::string& id) const
{
    auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

void ResidencyLedger::assumeRecentLoads(std::chrono::nanoseconds age)
{
    const auto time = m_clock.now() - std::chrono::duration_cast<SteadyTime::duration>(age);
    const auto loads = static_cast<int>(m_engine.loadsPerSecond * loadWindow.count());
    for (int i = 0; i < loads; ++i)
        m_storeLoads.push_front(time);
}

void ResidencyLedger::reset()
{
    m_upstreams.clear();
    m_members.clear();
}

} // namespace bulrushstack
