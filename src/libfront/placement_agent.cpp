#include "placement_agent.h"

#include "bulrushstack/kernel/scope_guard.h"
#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/serving/background_task_pacing.h"
#include "bulrushstack/serving/demand_report_schedule.h"
#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr BackgroundTaskPacing planPacing;
/// Minimum duration of a planning round that is logged.
constexpr std::chrono::milliseconds slowPlanThreshold { 100 };
constexpr std::chrono::milliseconds orderTimeout { 700 };
constexpr std::chrono::milliseconds upstreamReportTimeout { 500 };
/// Time for which an upstream may be busy with an order before its state is read again.
constexpr std::chrono::seconds maxBusyTime { 10 };

constexpr std::chrono::milliseconds reachabilityTimeout { 250 };
constexpr std::chrono::milliseconds reachabilityInterval { 700 };

/// Interval of the checks whether a row of the holder has to be written to the store.
constexpr std::chrono::milliseconds rowSaveInterval { 300 };

/// Time between an accepted order and the moment when the upstream accepts requests for the adapter.
constexpr std::chrono::milliseconds adapterActivationDelay { 16 };
constexpr std::chrono::milliseconds adapterPollInterval { 6 };

} // namespace

PlacementAgent::PlacementAgent(FrontState& state, HttpClient& client, FrontBinding& binding, FrontMetrics& metrics,
    StoreRelay& relay, StreamOriginService& origins)
    : m_state(state)
    , m_client(client)
    , m_binding(binding)
    , m_metrics(metrics)
    , m_relay(relay)
    , m_origins(origins)
    , m_leaseManager(state, binding, metrics, relay.self())
    , m_permits(state, client, m_leaseManager)
    , m_quotas(state, client, m_leaseManager, origins)
    , m_trials(state, client, m_leaseManager)
    , m_quarantineStore(state, binding, m_leaseManager)
    , m_versionHistory(state, binding, m_leaseManager)
    , m_demandEstimator(state.clock())
{
}

void PlacementAgent::start()
{
    spawnLogged(m_state.context(), m_leaseManager.run(), "placement-lease");
    spawnLogged(m_state.context(), keepHolderRows(), "holder-rows");
    spawnLogged(m_state.context(), reportDemand(), "placement-demand");
    spawnLogged(m_state.context(), runPlanning(), "placement-plan");
}

asio::awaitable<void> PlacementAgent::stop() { return m_leaseManager.release(); }

/// Keeps the rows of the store up to date that only the holder writes.
asio::awaitable<void> PlacementAgent::keepHolderRows()
{
    co_await m_quarantineStore.load();
    while (!m_leaseManager.isReleased()) {
        co_await m_quarantineStore.saveIfChanged();
        co_await m_versionHistory.saveIfChanged();
        co_await sleepFor(m_state.context(), rowSaveInterval);
    }
}

asio::awaitable<void> PlacementAgent::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const bool isPost = request.method == "POST";
    HttpResponse response;
    if (isPost && request.path() == demandPath)
        response = respondToDemand(request);
    else if (isPost && request.path() == adapterPath)
        response = co_await respondToAdapterDemand(request);
    else if (isPost && request.path() == permitPath)
        response = respondToPermitRequest(request);
    else if (isPost && request.path() == quotaPath)
        response = respondToQuotaRequest(request);
    else if (isPost && request.path() == trialPath)
        response = respondToTrialRequest(request);
    else
        response = jsonErrorResponse(404, "unknown path");
    co_await exchange.respond(std::move(response));
}

HttpResponse PlacementAgent::respondToDemand(const HttpRequest& request)
{
    const auto message = decodeDemandMessage(request.body);
    if (!message)
        return jsonErrorResponse(400, message.error().detail);
    DemandReply reply;
    if (m_leaseManager.isHolder())
        reply = processDemand(*message);
    else if (m_relay.tables().isActive())
        reply = relayDemand(*message);
    return jsonResponse(200, encode(reply));
}

asio::awaitable<HttpResponse> PlacementAgent::respondToAdapterDemand(const HttpRequest& request)
{
    auto demand = decodeAdapterDemand(request.body);
    if (!demand)
        co_return jsonErrorResponse(400, demand.error().detail);
    const auto placed = co_await placeAdapterAsHolder(std::move(*demand), m_state.clock().now() + orderTimeout);
    if (!placed)
        co_return jsonErrorResponse(503, placed.error().detail);
    co_return jsonResponse(200, encode(AdapterReply { .upstream = *placed }));
}

HttpResponse PlacementAgent::respondToPermitRequest(const HttpRequest& request)
{
    const auto permitRequest = decodePermitRequest(request.body);
    if (!permitRequest)
        return jsonErrorResponse(400, permitRequest.error().detail);
    if (!m_leaseManager.isHolder())
        return jsonErrorResponse(503, "this instance does not hold the placement lease");
    return jsonResponse(200, encode(m_permits.issueAsHolder(*permitRequest)));
}

HttpResponse PlacementAgent::respondToQuotaRequest(const HttpRequest& request)
{
    const auto quotaRequest = decodeQuotaRequest(request.body);
    if (!quotaRequest)
        return jsonErrorResponse(400, quotaRequest.error().detail);
    if (quotaRequest->isForDeputy)
        return jsonResponse(200, encode(m_quotas.borrowAsDeputy(*quotaRequest, true)));
    if (!m_leaseManager.isHolder())
        return jsonErrorResponse(503, "this instance does not hold the placement lease");
    return jsonResponse(200, encode(m_quotas.borrowAsHolder(*quotaRequest)));
}

HttpResponse PlacementAgent::respondToTrialRequest(const HttpRequest& request)
{
    const auto trialRequest = decodeTrialRequest(request.body);
    if (!trialRequest)
        return jsonErrorResponse(400, trialRequest.error().detail);
    if (!m_leaseManager.isHolder())
        return jsonErrorResponse(503, "this instance does not hold the placement lease");
    return jsonResponse(200, encode(m_trials.grantAsHolder(*trialRequest)));
}

asio::awaitable<Result<std::string>> PlacementAgent::placeAdapter(AdapterDemand demand, SteadyTime deadline)
{
    if (m_leaseManager.isHolder())
        co_return co_await placeAdapterAsHolder(std::move(demand), deadline);
    const auto holder = m_leaseManager.otherHolder();
    if (!holder)
        co_return unavailableFailure("no instance holds the placement lease");
    if (!m_leaseManager.hasRecentHolderContact())
        co_return unavailableFailure("the lease holder " + holder->holder + " does not respond");
    HttpRequest request { .method = "POST", .target = std::string(adapterPath), .body = encode(demand) };
    HttpCallOptions options;
    options.deadline = deadline;
    auto response = co_await m_client.call(holder->address, std::move(request), options);
    if (!response)
        co_return response.error();
    auto reply = decodeAdapterReply(response->body);
    if (response->status != 200 || !reply)
        co_return unavailableFailure(
            "the lease holder responded with status " + std::to_string(response->status) + " " + response->body);
    co_return reply->upstream;
}

asio::awaitable<Result<std::string>> PlacementAgent::placeAdapterAsHolder(AdapterDemand demand, SteadyTime deadline)
{
    const AdapterKey key { demand.model, demand.adapter };
    if (auto* placement = findPlacement(demand.service)) {
        placement->lastRequested[key] = m_state.clock().now();
        if (!demand.refusedBy.empty())
            placement->tracker.recordAdapterAbsent(demand.refusedBy, key);
    }
    while (m_state.clock().now() < deadline) {
        auto* placement = findPlacement(demand.service);
        if (!placement || !m_leaseManager.maySendOrders())
            co_return unavailableFailure("this instance may not send orders now");
        if (!placement->loadingAdapters.count(key)) {
            const auto upstream = placement->tracker.findAdapter(key, placement->excludedUpstreams);
            if (!upstream.empty())
                co_return upstream;
            auto choice
                = chooseAdapterSlot(placement->tracker, key, placement->lastRequested, placement->excludedUpstreams);
            if (!choice.upstreamId.empty()) {
                placement->loadingAdapters.insert(key);
                const ScopeGuard guard(m_lifetime, [&] {
                    if (auto* current = findPlacement(demand.service))
                        current->loadingAdapters.erase(key);
                });
                if (co_await loadAdapter(demand.service, key, choice))
                    co_return choice.upstreamId;
            }
        }
        co_await sleepFor(m_state.context(), adapterPollInterval);
    }
    co_return unavailableFailure("no upstream with the model could load the adapter in time");
}

asio::awaitable<bool> PlacementAgent::loadAdapter(std::string service, AdapterKey adapter, AdapterSlotChoice choice)
{
    if (!choice.evicted.first.empty()) {
        UpstreamOrder unload { .kind = OrderKind::Unload,
            .upstreamId = choice.upstreamId,
            .model = choice.evicted.first,
            .adapter = choice.evicted.second };
        const auto result = co_await executeOrder(service, std::move(unload), "adapter-evicted");
        if (result != OrderResult::Accepted && result != OrderResult::AlreadyHolds)
            co_return false;
    }
    UpstreamOrder load {
        .kind = OrderKind::Load, .upstreamId = choice.upstreamId, .model = adapter.first, .adapter = adapter.second
    };
    const auto result = co_await executeOrder(std::move(service), std::move(load), "adapter-asked");
    if (result == OrderResult::Accepted)
        co_await sleepFor(m_state.context(), adapterActivationDelay);
    co_return result == OrderResult::Accepted || result == OrderResult::AlreadyHolds;
}

PlacementAgent::ServicePlacement* PlacementAgent::findPlacement(const std::string& service)
{
    auto it = m_placements.find(service);
    return it == m_placements.end() ? nullptr : &it->second;
}

void PlacementAgent::beginTerm()
{
    m_termFence = m_leaseManager.lease().fence();
    for (auto& [service, placement] : m_placements) {
        placement.tracker.reset();
        assumeLoadsOfPreviousHolder(placement);
    }
    LOG(INFO) << "event=placement-term fence=" << m_termFence << " services=" << m_placements.size();
}

void PlacementAgent::assumeLoadsOfPreviousHolder(ServicePlacement& placement)
{
    if (m_leaseManager.lease().origin() == LeaseOrigin::EarlierProcess)
        placement.tracker.assumeRecentWeightStoreLoads(std::chrono::nanoseconds(0));
    if (m_leaseManager.lease().origin() == LeaseOrigin::OtherInstance)
        placement.tracker.assumeRecentWeightStoreLoads(m_leaseManager.handoverPause());
}

asio::awaitable<void> PlacementAgent::runPlanning()
{
    std::chrono::nanoseconds duration {};
    while (!m_leaseManager.isReleased()) {
        co_await sleepFor(m_state.context(), pauseAfterRun(planPacing, duration));
        duration = {};
        if (!m_leaseManager.maySendOrders() || !m_state.configuration())
            continue;
        if (m_termFence != m_leaseManager.lease().fence())
            beginTerm();
        const auto configuration = m_state.configuration();
        const auto started = m_state.clock().now();
        for (const auto& service : configuration->services()) {
            if (!service.engine)
                continue;
            updateTracker(service);
            auto& placement = m_placements.at(service.name);
            fetchMissingReports(service.name, placement);
            resendUnresolvedOrders(service.name, placement);
            sendPlannedOrders(service.name, placement);
        }
        duration = m_state.clock().now() - started;
        m_metrics.recordPlanningTime(duration);
        if (duration >= slowPlanThreshold)
            LOG(WARNING) << "event=plan-slow ms=" << millisecondsOf(duration).count()
                         << " upstreams=" << m_state.directory().all().size() << " fence=" << m_termFence;
    }
}

void PlacementAgent::updateTracker(const ServiceSpec& service)
{
    auto it = m_placements.find(service.name);
    if (it == m_placements.end()) {
        it = m_placements.emplace(service.name, ServicePlacement(m_state.clock(), *service.engine)).first;
        assumeLoadsOfPreviousHolder(it->second);
    }
    auto& placement = it->second;
    placement.tracker.setEngine(*service.engine);
    std::vector<const UpstreamEntry*> entries;
    placement.excludedUpstreams.clear();
    for (const auto* entry : m_state.directory().all()) {
        if (entry->service != service.name)
            continue;
        entries.push_back(entry);
        const auto unreachable = m_unreachableUpstreams.find(entry->id);
        if (m_state.directory().isLeaving(*entry) || m_permits.isExhausted(*entry)
            || (unreachable != m_unreachableUpstreams.end() && unreachable->second == entry->startedAt))
            placement.excludedUpstreams.insert(entry->id);
    }
    placement.tracker.update(entries);
}

void PlacementAgent::fetchMissingReports(const std::string& service, ServicePlacement& placement)
{
    const auto now = m_state.clock().now();
    for (const auto& [id, upstream] : placement.tracker.upstreams()) {
        if (upstream.isBusy && upstream.busySince && now - *upstream.busySince > maxBusyTime)
            placement.tracker.invalidateState(id);
        const bool isDue = !upstream.isStateKnown && !upstream.hasOrderInFlight
            && !placement.excludedUpstreams.count(id) && (!upstream.retryNotBefore || *upstream.retryNotBefore <= now);
        if (isDue && placement.pendingReports.insert(id).second)
            spawnLogged(m_state.context(), fetchUpstreamReport(service, id), "upstream-report");
    }
}

asio::awaitable<void> PlacementAgent::fetchUpstreamReport(std::string service, std::string upstream)
{
    const ScopeGuard guard(m_lifetime, [&] {
        if (auto* placement = findPlacement(service))
            placement->pendingReports.erase(upstream);
    });
    const auto* entry = m_state.directory().find(upstream);
    if (entry) {
        const auto startedAt = entry->startedAt;
        const auto deadline = m_state.clock().now() + upstreamReportTimeout;
        auto report = co_await m_binding.upstreamControl().fetchReport(entry->address, upstream, deadline);
        auto* placement = findPlacement(service);
        if (report && report->isLeaving)
            m_state.markLeaving(upstream, startedAt, "report");
        if (report && placement) {
            placement->tracker.recordReport(upstream, *report);
            LOG(INFO) << "event=upstream-report upstream=" << upstream << " orders=" << report->ordersAccepted
                      << " busy=" << report->isBusy << " models=" << report->models.size();
        } else if (!report) {
            LOG(INFO) << "event=upstream-report-failed upstream=" << upstream << " error=\"" << report.error().detail
                      << "\"";
            co_await sleepFor(m_state.context(), upstreamReportTimeout);
        }
    }
}

void PlacementAgent::resendUnresolvedOrders(const std::string& service, ServicePlacement& placement)
{
    const auto now = m_state.clock().now();
    for (const auto& [id, upstream] : placement.tracker.upstreams()) {
        if (upstream.retryNotBefore && *upstream.retryNotBefore > now)
            continue;
        if (auto order = placement.tracker.unresolvedOrder(id))
            spawnLogged(m_state.context(), executeOrder(service, *order, "answer-lost"), "order");
    }
}

void PlacementAgent::sendPlannedOrders(const std::string& service, ServicePlacement& placement)
{
    for (const auto& change :
        planPlacement(service, placement.tracker, m_demandEstimator, placement.excludedUpstreams, {})) {
        UpstreamOrder order { .kind = change.kind, .upstreamId = change.upstreamId, .model = change.model };
        const std::string reason = "work-per-copy-" + std::to_string(static_cast<int>(change.workPerCopy));
        spawnLogged(m_state.context(), executeOrder(service, std::move(order), reason), "order");
    }
}

/// An instance that is cut off reports all upstreams as unreachable. The holder therefore checks the connection itself,
/// until the upstream accepts connections again or is no longer in the directory.
asio::awaitable<void> PlacementAgent::monitorReachability(std::string upstream)
{
    const ScopeGuard guard(m_lifetime, [&] {
        m_unreachableUpstreams.erase(upstream);
        m_monitoredUpstreams.erase(upstream);
    });
    while (!m_leaseManager.isReleased()) {
        const auto* entry = m_state.directory().find(upstream);
        if (!entry)
            break;
        const auto startedAt = entry->startedAt;
        const bool isListening = co_await m_client.isListening(entry->address, reachabilityTimeout);
        const bool wasUnreachable = m_unreachableUpstreams.count(upstream) > 0;
        if (isListening == wasUnreachable)
            LOG(WARNING) << "event=dependency-" << (isListening ? "regained" : "lost")
                         << " dependency=upstream upstream=" << upstream << " started_at=" << startedAt;
        if (isListening)
            break;
        m_unreachableUpstreams[upstream] = startedAt;
        co_await sleepFor(m_state.context(), reachabilityInterval);
    }
}

asio::awaitable<OrderResult> PlacementAgent::executeOrder(std::string service, UpstreamOrder order, std::string reason)
{
    auto* placement = findPlacement(service);
    const auto* entry = m_state.directory().find(order.upstreamId);
    if (!placement || !entry || !m_leaseManager.maySendOrders())
        co_return OrderResult::Rejected;
    const auto* residency = placement->tracker.find(order.upstreamId);
    if (!residency || residency->hasOrderInFlight || !placement->tracker.fits(order))
        co_return OrderResult::Rejected;
    order.holder = m_state.instanceId();
    order.fence = m_leaseManager.lease().fence();
    const bool isWeightStoreLoad
        = order.kind == OrderKind::Load && placement->tracker.isWeightStoreLoad(order.upstreamId, order.model);
    order = placement->tracker.beginOrder(std::move(order));
    const auto sentAt = m_state.clock().now();
    const auto startedAt = entry->startedAt;
    const OrderTimes times { .deadline = sentAt + orderTimeout, .sendBy = *m_leaseManager.lease().validUntil() };
    auto result = OrderResult::Unknown;
    {
        const ScopeGuard guard(m_lifetime, [&] {
            if (auto* current = findPlacement(service))
                current->tracker.finishOrder(order, result);
        });
        const auto reply = co_await m_binding.upstreamControl().sendOrder(entry->address, order, times);
        result = reply.result;
        if (reply.isLeaving)
            m_state.markLeaving(order.upstreamId, startedAt, "order");
    }
    m_metrics.recordOrder(toString(order.kind), toString(result));
    LOG(INFO) << "event=order kind=" << toString(order.kind) << " upstream=" << order.upstreamId
              << " model=" << order.model << " adapter=" << order.adapter << " expected=" << order.expectedOrders
              << " fence=" << order.fence << " lease_version=" << m_leaseManager.lease().expectedVersion()
              << " reason=" << reason << " store_load=" << isWeightStoreLoad << " answer=" << toString(result)
              << " ms=" << millisecondsOf(m_state.clock().now() - sentAt).count();
    if (order.kind == OrderKind::Unload && order.adapter.empty() && result == OrderResult::Accepted)
        m_state.residencyHints().recordAbsent(order.upstreamId, order.model, "");
    co_return result;
}

} // namespace bulrushstack
