#include "bulrushstack/serving/residency_ledger.h"

#include <algorithm>
#include <cmath>

namespace bulrushstack {

namespace {

/// Time in which an upstream shows an order that it accepted.
constexpr std::chrono::milliseconds showTime { 2500 };

/// Pause before an order is tried again after a conflict or a lost answer.
constexpr std::chrono::milliseconds retryPause { 300 };

/// Span over which the rate of the weight store is kept, with a part of the rate left for loads that start late.
constexpr std::chrono::seconds loadWindow { 5 };
constexpr double loadHeadroom = 0.95;


} // namespace

ResidencyLedger::ResidencyLedger(const Clock& clock, EngineSpec engine)
    : m_clock(clock)
    , m_engine(std::move(engine))
{
}

double ResidencyLedger::sizeOf(const std::string& model) const
{
    const auto* spec = m_engine.findModel(model);
    // A model that the configuration no longer lists still takes memory; the largest listed one is a safe guess.
    if (spec)
        return spec->weightsMb;
    double largest = 0;
    for (const auto& it : m_engine.models)
        largest = std::max(largest, it.weightsMb);
    return largest;
}

void ResidencyLedger::update(const std::vector<const UpstreamEntry*>& entries)
{
    std::set<std::string> present;
    for (const auto* entry : entries) {
        present.insert(entry->id);
        auto& upstream = m_upstreams[entry->id];
        auto& member = m_members[entry->id];
        const bool isNewProcess = upstream.startedAt != entry->startedAt;
        if (isNewProcess) {
            upstream = UpstreamResidency { .id = entry->id, .startedAt = entry->startedAt };
            member = Member {};
        }
        const bool isNews = member.shown != entry->models;
        member.onDisk.clear();
        member.onDisk.insert(entry->modelsOnDisk.begin(), entry->modelsOnDisk.end());
        member.onDisk.insert(entry->modelsInHostMemory.begin(), entry->modelsInHostMemory.end());
        if (isNewProcess || isNews)
            showModels(upstream, member, entry->models);
    }
    std::erase_if(m_upstreams, [&](const auto& it) { return !present.count(it.first); });
    std::erase_if(m_members, [&](const auto& it) { return !present.count(it.first); });
}

void ResidencyLedger::showModels(UpstreamResidency& upstream, Member& member, const std::vector<HeldModel>& models)
{
    const auto now = m_clock.now();
    member.shown = models;
    std::set<std::string> shown;
    for (const auto& it : models)
        shown.insert(it.name);
    for (auto it = upstream.loading.begin(); it != upstream.loading.end();)
        it = shown.count(*it) ? upstream.loading.erase(it) : std::next(it);
    for (auto it = upstream.unloading.begin(); it != upstream.unloading.end();)
        it = shown.count(*it) ? std::next(it) : upstream.unloading.erase(it);
    upstream.held.clear();
    for (const auto& it : shown) {
        if (!upstream.unloading.count(it))
            upstream.held.insert(it);
    }
    if (upstream.loading.empty() && upstream.unloading.empty()) {
        upstream.isBusy = false;
        upstream.busySince.reset();
    }
    std::erase_if(member.recentAdapterOrders, [&](const auto& it) { return now - it.second >= showTime; });
    upstream.adapters.clear();
    for (const auto& it : models) {
        for (const auto& adapter : it.adapters)
            upstream.adapters.insert({ it.name, adapter });
    }
    // What was ordered a moment ago is newer than what the upstream shows.
    for (const auto& [name, time] : member.recentAdapterOrders) {
        if (member.recentAdapterUnloads.count(name))
            upstream.adapters.erase(name);
        else
            upstream.adapters.insert(name);
    }
}

void ResidencyLedger::noteReport(const std::string& id, const UpstreamReport& report)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    auto& upstream = it->second;
    auto& member = m_members[id];
    const bool isOld = report.ordersAccepted < upstream.ordersAccepted;
    upstream.ordersAccepted = std::max(upstream.ordersAccepted, report.ordersAccepted);
    if (isOld)
        return;
    upstream.isKnown = true;
    if (!report.isBusy && !member.pending) {
        upstream.loading.clear();
        upstream.unloading.clear();
    }
    showModels(upstream, member, report.models);
    upstream.isBusy = report.isBusy;
    if (!report.isBusy)
        upstream.busySince.reset();
    else if (!upstream.busySince)
        upstream.busySince = m_clock.now();
    for (const auto& name : report.arrivingAdapters) {
        const auto slash = name.find('/');
        if (slash != std::string::npos)
            upstream.adapters.insert({ name.substr(0, slash), name.substr(slash + 1, name.find('@') - slash - 1) });
    }
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
    double largestAdapter = 0;
    for (const auto& model : m_engine.models)
        largestAdapter = std::max(largestAdapter, model.adapterMb);
    return m_engine.weightsMb - used - largestAdapter * m_engine.adapterSlots;
}

unsigned ResidencyLedger::freeAdapterPlaces(const std::string& id) const
{
    const auto* upstream = find(id);
    const auto used = upstream ? upstream->adapters.size() : m_engine.adapterSlots;
    return used >= m_engine.adapterSlots ? 0 : m_engine.adapterSlots - static_cast<unsigned>(used);
}

void ResidencyLedger::noteAdapterAbsent(const std::string& id, const AdapterName& adapter)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end() || !it->second.adapters.count(adapter) || it->second.isOrdering)
        return;
    m_members[id].recentAdapterOrders.erase(adapter);
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

void ResidencyLedger::applyAccepted(
    UpstreamResidency& upstream, Member& member, const UpstreamOrder& order, bool isCarriedOut)
{
    const AdapterName name { order.model, order.adapter };
    if (!order.adapter.empty()) {
        member.recentAdapterOrders[name] = m_clock.now();
        if (order.kind == OrderKind::Load) {
            member.recentAdapterUnloads.erase(name);
        } else {
            member.recentAdapterUnloads.insert(name);
            upstream.adapters.erase(name);
        }
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
        applyAccepted(upstream, member, order, false);
        member.pending.reset();
        break;
    case OrderAnswer::AlreadyHolds:
        // Unloading an adapter is carried out at once and counts as an accepted order.
        if (order.kind == OrderKind::Unload && !order.adapter.empty())
            upstream.ordersAccepted = std::max(upstream.ordersAccepted, order.expectedOrders + 1);
        applyAccepted(upstream, member, order, true);
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
    return it == m_members.end() || !it->second.onDisk.count(model);
}

unsigned ResidencyLedger::storeLoadAllowance() const
{
    const auto from = m_clock.now() - loadWindow;
    const auto recent = std::count_if(m_storeLoads.begin(), m_storeLoads.end(), [&](auto time) { return time > from; });
    const double allowed = std::floor(m_engine.loadsPerSecond * loadWindow.count() * loadHeadroom + 1);
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
    const auto loads = static_cast<int>(m_engine.loadsPerSecond * loadWindow.count() * loadHeadroom);
    for (int i = 0; i < loads; ++i)
        m_storeLoads.push_front(time);
}

void ResidencyLedger::reset()
{
    m_upstreams.clear();
    m_members.clear();
}

} // namespace bulrushstack
