#include "bulrushstack/serving/residency_tracker.h"

#include <algorithm>
#include <cmath>

namespace bulrushstack {

namespace {

/// Delay before an order is retried after a conflict or a lost response, and before a state report is requested again.
constexpr std::chrono::milliseconds retryDelay { 300 };

/// Sliding window over which the rate limit of the weight store applies.
constexpr std::chrono::seconds weightStoreRateWindow { 5 };

} // namespace

ResidencyTracker::ResidencyTracker(const Clock& clock, EngineSpec engine)
    : m_clock(clock)
{
    setEngine(std::move(engine));
}

void ResidencyTracker::setEngine(EngineSpec engine)
{
    if (m_engine == engine && !m_sizesMb.empty())
        return;
    m_engine = std::move(engine);
    m_sizesMb.clear();
    m_largestModelMb = 0;
    double largestAdapterMb = 0;
    for (const auto& model : m_engine.models) {
        m_sizesMb.emplace(model.name, model.sizeMb);
        m_largestModelMb = std::max(m_largestModelMb, model.sizeMb);
        largestAdapterMb = std::max(largestAdapterMb, model.adapterSizeMb);
    }
    m_adapterReserveMb = largestAdapterMb * m_engine.adapterSlots;
}

double ResidencyTracker::sizeOf(const std::string& model) const
{
    const auto it = m_sizesMb.find(model);
    // A model that was removed from the configuration still occupies memory; the size of the largest listed model is a
    // safe upper estimate.
    return it == m_sizesMb.end() ? m_largestModelMb : it->second;
}

void ResidencyTracker::update(const std::vector<const UpstreamEntry*>& entries)
{
    std::set<std::string> present;
    for (const auto* entry : entries) {
        present.insert(entry->id);
        auto [it, isNew] = m_upstreams.try_emplace(entry->id);
        auto& upstream = it->second;
        auto& details = m_details[entry->id];
        details.localCopies.clear();
        details.localCopies.insert(entry->modelsOnDisk.begin(), entry->modelsOnDisk.end());
        details.localCopies.insert(entry->modelsInHostMemory.begin(), entry->modelsInHostMemory.end());
        if (isNew || upstream.startedAt != entry->startedAt) {
            upstream = UpstreamResidency { .id = entry->id, .startedAt = entry->startedAt };
            details.pendingOrder.reset();
            for (const auto& model : entry->models)
                upstream.loaded.insert(model.name);
        } else if (details.directoryModels != entry->models) {
            applyDirectoryModels(upstream, entry->models);
        }
        upstream.softwareVersion = entry->softwareVersion;
        details.directoryModels = entry->models;
    }
    std::erase_if(m_upstreams, [&](const auto& it) { return !present.count(it.first); });
    std::erase_if(m_details, [&](const auto& it) { return !present.count(it.first); });
}

/// A directory row may be older than the last order or state report. It is therefore trusted only to show that a load
/// has finished. Where it would free memory, the state is read from the upstream first.
void ResidencyTracker::applyDirectoryModels(UpstreamResidency& upstream, const std::vector<LoadedModel>& models)
{
    std::set<std::string> listed;
    for (const auto& it : models) {
        listed.insert(it.name);
        if (upstream.loading.erase(it.name)) {
            upstream.loaded.insert(it.name);
        } else if (!upstream.occupiesMemory(it.name)) {
            upstream.loaded.insert(it.name);
            upstream.isStateKnown = false;
        }
    }
    for (const auto* part : { &upstream.loaded, &upstream.unloading }) {
        for (const auto& model : *part)
            upstream.isStateKnown = upstream.isStateKnown && listed.count(model);
    }
    if (upstream.loading.empty() && upstream.unloading.empty())
        clearBusy(upstream);
}

void ResidencyTracker::clearBusy(UpstreamResidency& upstream)
{
    upstream.isBusy = false;
    upstream.busySince.reset();
}

void ResidencyTracker::recordReport(const std::string& id, const UpstreamReport& report)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    auto& upstream = it->second;
    const auto& pendingOrder = m_details[id].pendingOrder;
    upstream.retryNotBefore = m_clock.now() + retryDelay;
    if (report.ordersAccepted < upstream.ordersAccepted)
        return; // The report predates the last accepted order.
    upstream.ordersAccepted = report.ordersAccepted;
    if (!report.isBusy && !pendingOrder) {
        upstream.loading.clear();
        upstream.unloading.clear();
    }
    upstream.loaded.clear();
    upstream.adapters.clear();
    for (const auto& model : report.models) {
        upstream.loading.erase(model.name);
        if (!upstream.unloading.count(model.name))
            upstream.loaded.insert(model.name);
        for (const auto& adapter : model.adapters)
            upstream.adapters.insert({ model.name, adapter });
    }
    for (const auto& name : report.loadingAdapters) {
        const auto slash = name.find('/');
        if (slash != std::string::npos)
            upstream.adapters.insert({ name.substr(0, slash), name.substr(slash + 1, name.find('@') - slash - 1) });
    }
    if (pendingOrder && pendingOrder->kind == OrderKind::Load && !pendingOrder->adapter.empty())
        upstream.adapters.insert({ pendingOrder->model, pendingOrder->adapter });
    upstream.isBusy = report.isBusy;
    if (!report.isBusy)
        clearBusy(upstream);
    else if (!upstream.busySince)
        upstream.busySince = m_clock.now();
    // The report does not name a model that another holder ordered to load, so its memory is unknown until the load has
    // finished. An unload in progress also requires another report.
    upstream.isStateKnown = !report.isBusy || !upstream.loading.empty();
}

double ResidencyTracker::freeMb(const std::string& id) const
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return 0;
    const auto& upstream = it->second;
    double used = 0;
    for (const auto* part : { &upstream.loaded, &upstream.loading, &upstream.unloading }) {
        for (const auto& model : *part)
            used += sizeOf(model);
    }
    return m_engine.memoryMb - used - m_adapterReserveMb;
}

unsigned ResidencyTracker::freeAdapterSlots(const std::string& id) const
{
    const auto* upstream = find(id);
    const auto used = upstream ? upstream->adapters.size() : m_engine.adapterSlots;
    return used >= m_engine.adapterSlots ? 0 : m_engine.adapterSlots - static_cast<unsigned>(used);
}

void ResidencyTracker::recordAdapterAbsent(const std::string& id, const AdapterKey& adapter)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end() || !it->second.adapters.count(adapter) || it->second.hasOrderInFlight)
        return;
    it->second.isStateKnown = false;
}

void ResidencyTracker::invalidateState(const std::string& id)
{
    auto it = m_upstreams.find(id);
    if (it != m_upstreams.end())
        it->second.isStateKnown = false;
}

std::string ResidencyTracker::findAdapter(const AdapterKey& adapter, const std::set<std::string>& leaving) const
{
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream.isStateKnown && !leaving.count(id) && upstream.loaded.count(adapter.first)
            && upstream.adapters.count(adapter))
            return id;
    }
    return {};
}

bool ResidencyTracker::fits(const UpstreamOrder& order) const
{
    const auto* upstream = find(order.upstreamId);
    if (!upstream)
        return false;
    if (order.kind == OrderKind::Unload)
        return true;
    if (order.adapter.empty())
        return upstream->occupiesMemory(order.model) || freeMb(order.upstreamId) >= sizeOf(order.model);
    return upstream->loaded.count(order.model)
        && (upstream->adapters.count({ order.model, order.adapter }) || freeAdapterSlots(order.upstreamId) > 0);
}

UpstreamOrder ResidencyTracker::beginOrder(UpstreamOrder order)
{
    auto& upstream = m_upstreams.at(order.upstreamId);
    auto& details = m_details[order.upstreamId];
    while (!m_weightStoreLoads.empty() && m_clock.now() - m_weightStoreLoads.front() > weightStoreRateWindow)
        m_weightStoreLoads.pop_front();
    if (details.pendingOrder) {
        // A retry keeps the expected count, so that the upstream accepts at most one of the two orders.
        order.expectedOrders = details.pendingOrder->expectedOrders;
    } else {
        order.expectedOrders = upstream.ordersAccepted;
        if (order.kind == OrderKind::Load && order.adapter.empty() && isWeightStoreLoad(order.upstreamId, order.model))
            m_weightStoreLoads.push_back(m_clock.now());
    }
    details.pendingOrder = order;
    upstream.hasOrderInFlight = true;
    if (order.kind == OrderKind::Load && order.adapter.empty() && !upstream.loaded.count(order.model))
        upstream.loading.insert(order.model);
    if (order.kind == OrderKind::Load && !order.adapter.empty())
        upstream.adapters.insert({ order.model, order.adapter });
    if (order.kind == OrderKind::Unload && order.adapter.empty()) {
        upstream.loaded.erase(order.model);
        upstream.unloading.insert(order.model);
    }
    return order;
}

void ResidencyTracker::applyAccepted(UpstreamResidency& upstream, const UpstreamOrder& order, bool isComplete) const
{
    const AdapterKey name { order.model, order.adapter };
    if (!order.adapter.empty()) {
        if (order.kind == OrderKind::Unload)
            upstream.adapters.erase(name);
        return;
    }
    if (!isComplete) {
        upstream.isBusy = true;
        upstream.busySince = m_clock.now();
        return;
    }
    if (order.kind == OrderKind::Load) {
        upstream.loading.erase(order.model);
        upstream.loaded.insert(order.model);
    } else {
        upstream.unloading.erase(order.model);
    }
}

void ResidencyTracker::finishOrder(const UpstreamOrder& order, OrderResult result)
{
    auto it = m_upstreams.find(order.upstreamId);
    if (it == m_upstreams.end())
        return;
    auto& upstream = it->second;
    auto& details = m_details[order.upstreamId];
    upstream.hasOrderInFlight = false;
    if (!details.pendingOrder)
        return; // The upstream has restarted in the meantime.
    switch (result) {
    case OrderResult::Accepted:
        upstream.ordersAccepted = std::max(upstream.ordersAccepted, order.expectedOrders + 1);
        applyAccepted(upstream, order, false);
        details.pendingOrder.reset();
        break;
    case OrderResult::AlreadyHolds:
        // An adapter is unloaded at once, which counts as an accepted order.
        if (order.kind == OrderKind::Unload && !order.adapter.empty())
            upstream.ordersAccepted = std::max(upstream.ordersAccepted, order.expectedOrders + 1);
        applyAccepted(upstream, order, true);
        details.pendingOrder.reset();
        break;
    case OrderResult::Rejected:
    case OrderResult::Conflict:
        // Neither this order nor an earlier try can still take effect, or an earlier try already did. The state is
        // read again before the next order, and the memory stays reserved until then.
        details.pendingOrder.reset();
        upstream.isStateKnown = false;
        upstream.retryNotBefore = m_clock.now() + retryDelay;
        break;
    case OrderResult::Unknown:
        upstream.retryNotBefore = m_clock.now() + retryDelay;
        break;
    }
}

std::optional<UpstreamOrder> ResidencyTracker::unresolvedOrder(const std::string& id) const
{
    auto it = m_details.find(id);
    const auto* upstream = find(id);
    return it == m_details.end() || !upstream || upstream->hasOrderInFlight ? std::nullopt : it->second.pendingOrder;
}

bool ResidencyTracker::isWeightStoreLoad(const std::string& id, const std::string& model) const
{
    auto it = m_details.find(id);
    return it == m_details.end() || !it->second.localCopies.count(model);
}

const std::set<std::string>* ResidencyTracker::localCopies(const std::string& id) const
{
    auto it = m_details.find(id);
    return it == m_details.end() ? nullptr : &it->second.localCopies;
}

unsigned ResidencyTracker::weightStoreLoadAllowance() const
{
    const auto from = m_clock.now() - weightStoreRateWindow;
    const auto recent
        = std::count_if(m_weightStoreLoads.begin(), m_weightStoreLoads.end(), [&](auto time) { return time > from; });
    const double allowed = std::floor(m_engine.weightStoreLoadsPerSecond * weightStoreRateWindow.count() + 1);
    return recent >= allowed ? 0 : static_cast<unsigned>(allowed) - static_cast<unsigned>(recent);
}

const UpstreamResidency* ResidencyTracker::find(const std::string& id) const
{
    auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

void ResidencyTracker::assumeRecentWeightStoreLoads(std::chrono::nanoseconds age)
{
    const auto time = m_clock.now() - std::chrono::duration_cast<SteadyTime::duration>(age);
    const auto loads = static_cast<int>(m_engine.weightStoreLoadsPerSecond * weightStoreRateWindow.count());
    for (int i = 0; i < loads; ++i)
        m_weightStoreLoads.push_front(time);
}

void ResidencyTracker::reset()
{
    m_upstreams.clear();
    m_details.clear();
}

} // namespace bulrushstack
