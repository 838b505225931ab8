#include "placement_agent.h"

#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/serving/demand_schedule.h"
#include "bulrushstack/serving/duty_pacing.h"
#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::string_view demandPath = "/v1/placement/demand";
constexpr std::string_view adapterPath = "/v1/placement/adapter";
constexpr DutyPacing planPacing;
constexpr std::chrono::milliseconds slowPlan { 100 }; ///< from which a round of planning is logged
constexpr std::chrono::milliseconds orderTimeout { 700 };
constexpr std::chrono::milliseconds reportTimeout { 500 };
constexpr std::chrono::seconds longestBusy { 10 }; ///< then the state of the upstream is read again

constexpr std::chrono::milliseconds reachabilityTimeout { 250 };
constexpr std::chrono::milliseconds reachabilityInterval { 700 };

constexpr std::chrono::milliseconds scheduleInterval { 60 }; ///< between two looks at whether a report is due
constexpr std::chrono::seconds reporterLifetime { 6 };
constexpr std::size_t crashCountsInReply = 32;

constexpr std::chrono::milliseconds adapterArrival { 16 }; ///< after the order, until requests are accepted
constexpr std::chrono::milliseconds adapterPoll { 6 };

Failure unavailable(std::string detail)
{
    return { .code = Errc::Unavailable, .verdict = Verdict::NotRun, .detail = std::move(detail) };
}

HttpResponse jsonRefusal(unsigned status, std::string_view reason)
{
    return jsonResponse(status, nlohmann::json { { "error", reason } }.dump());
}

} // namespace

PlacementAgent::PlacementAgent(
    FrontState& state, HttpClient& client, FrontBinding& binding, FrontMetrics& metrics, Address controlAddress)
    : m_state(state)
    , m_client(client)
    , m_binding(binding)
    , m_metrics(metrics)
    , m_keeper(state, binding, metrics, std::move(controlAddress))
    , m_demand(state.clock())
{
}

void PlacementAgent::start()
{
    spawnLogged(m_state.context(), m_keeper.run(), "placement-lease");
    spawnLogged(m_state.context(), reportDemand(), "placement-demand");
    spawnLogged(m_state.context(), keepPlacement(), "placement-plan");
}

asio::awaitable<void> PlacementAgent::stop() { return m_keeper.release(); }

asio::awaitable<void> PlacementAgent::reportDemand()
{
    auto lastReport = m_state.clock().now();
    while (!m_keeper.isReleased()) {
        co_await sleepFor(m_state.context(), scheduleInterval);
        const DemandSchedule schedule(m_state.instances());
        if (m_state.clock().now() - lastReport < schedule.reportInterval(m_state.hasUrgentDemand()))
            continue;
        lastReport = m_state.clock().now();
        co_await sendDemand();
    }
}

asio::awaitable<void> PlacementAgent::sendDemand()
{
    if (m_keeper.isHolder()) {
        m_keeper.noteContact();
        applyReply(takeDemand(m_state.takeDemand()));
        co_return;
    }
    const auto holder = m_keeper.otherHolder();
    if (!holder)
        co_return;
    HttpRequest request { .method = "POST", .target = std::string(demandPath), .body = encode(m_state.takeDemand()) };
    HttpCallOptions options;
    options.deadline = m_state.clock().now() + DemandSchedule::reportTimeout();
    auto response = co_await m_client.call(holder->address, std::move(request), options);
    if (!response) {
        // A connection that went silent is not used again, since the next one may work.
        m_client.closeIdleConnections(holder->address);
        if (m_isHolderReached && !m_keeper.isInContact())
            noteHolderLost(*holder, response.error().detail);
        co_return;
    }
    auto reply = decodeDemandReply(response->body);
    if (response->status != 200 || !reply || !reply->isHolder) {
        m_keeper.noteHolderGone();
        if (m_isHolderReached)
            noteHolderLost(*holder, "it does not hold the lease, status " + std::to_string(response->status));
        co_return;
    }
    if (!m_isHolderReached)
        LOG(INFO) << "event=dependency-regained dependency=placement-holder holder=" << holder->holder
                  << " version=" << holder->version;
    m_isHolderReached = true;
    m_keeper.noteRenewedByHolder(*holder, reply->leaseVersion);
    m_state.suspects().merge(reply->crashes);
    applyReply(*reply);
}

void PlacementAgent::noteHolderLost(const LeaseRecord& holder, const std::string& reason)
{
    m_isHolderReached = false;
    LOG(WARNING) << "event=dependency-lost dependency=placement-holder holder=" << holder.holder
                 << " version=" << holder.version << " error=\"" << reason << "\"";
}

void PlacementAgent::applyReply(const DemandReply& reply)
{
    m_state.setInstances(reply.instances);
    m_state.setRetiring(reply.retiring);
}

DemandReply PlacementAgent::takeDemand(const DemandMessage& message)
{
    const auto now = m_state.clock().now();
    m_demand.add(message.models);
    for (const auto& it : message.adapters) {
        if (auto* placement = findPlacement(it.service))
            placement->asked[{ it.model, it.adapter }] = now;
    }
    for (const auto& it : message.crashes) {
        if (message.instance == m_state.instanceId())
            continue;
        for (std::uint32_t i = 0; i < it.crashes; ++i)
            m_state.suspects().noteCrash(it.digest);
    }
    for (const auto& it : message.unreachable) {
        if (m_state.directory().find(it) && m_checking.insert(it).second)
            spawnLogged(m_state.context(), checkReachable(it), "reachability");
    }
    m_reporters[message.instance] = now;
    std::erase_if(m_reporters, [&](const auto& it) { return now - it.second > reporterLifetime; });
    DemandReply out { .isHolder = true,
        .leaseVersion = m_keeper.lease().expectedVersion(),
        .instances = static_cast<unsigned>(m_reporters.size()) };
    for (const auto& [service, placement] : m_services) {
        for (const auto& [id, upstream] : placement.ledger.upstreams()) {
            for (const auto& model : upstream.unloading)
                out.retiring.push_back({ .upstream = id, .model = model });
        }
    }
    out.crashes = m_state.suspects().counts(crashCountsInReply);
    return out;
}

asio::awaitable<void> PlacementAgent::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const bool isHolder = m_keeper.isHolder();
    if (request.method == "POST" && request.path() == demandPath) {
        auto message = decodeDemandMessage(request.body);
        if (!message) {
            co_await exchange.respond(jsonRefusal(400, message.error().detail));
            co_return;
        }
        const auto reply = isHolder ? takeDemand(*message) : DemandReply();
        co_await exchange.respond(jsonResponse(200, encode(reply)));
        co_return;
    }
    if (request.method == "POST" && request.path() == adapterPath) {
        auto adapter = decodeAdapterDemand(request.body);
        if (!adapter) {
            co_await exchange.respond(jsonRefusal(400, adapter.error().detail));
            co_return;
        }
        auto placed = co_await placeHere(std::move(*adapter), m_state.clock().now() + orderTimeout);
        auto response = placed ? jsonResponse(200, encode(AdapterReply { .upstream = *placed }))
                               : jsonRefusal(503, placed.error().detail);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await exchange.respond(jsonRefusal(404, "there is nothing at this path"));
}

asio::awaitable<Result<std::string>> PlacementAgent::placeAdapter(AdapterDemand adapter, SteadyTime deadline)
{
    if (m_keeper.isHolder())
        co_return co_await placeHere(std::move(adapter), deadline);
    const auto holder = m_keeper.otherHolder();
    if (!holder)
        co_return unavailable("no instance holds the placement lease");
    if (!m_keeper.isInContact())
        co_return unavailable("the holder " + holder->holder + " does not answer");
    HttpRequest request { .method = "POST", .target = std::string(adapterPath), .body = encode(adapter) };
    HttpCallOptions options;
    options.deadline = deadline;
    auto response = co_await m_client.call(holder->address, std::move(request), options);
    if (!response)
        co_return response.error();
    auto reply = decodeAdapterReply(response->body);
    if (response->status != 200 || !reply)
        co_return unavailable("the holder answered " + std::to_string(response->status) + " " + response->body);
    co_return reply->upstream;
}

asio::awaitable<Result<std::string>> PlacementAgent::placeHere(AdapterDemand adapter, SteadyTime deadline)
{
    const AdapterName name { adapter.model, adapter.adapter };
    if (auto* placement = findPlacement(adapter.service)) {
        placement->asked[name] = m_state.clock().now();
        if (!adapter.refusedBy.empty())
            placement->ledger.noteAdapterAbsent(adapter.refusedBy, name);
    }
    while (m_state.clock().now() < deadline) {
        auto* placement = findPlacement(adapter.service);
        if (!placement || !m_keeper.mayOrder())
            co_return unavailable("this instance may not give orders now");
        if (!placement->placing.count(name)) {
            const auto holder = placement->ledger.findAdapter(name, placement->leaving);
            if (!holder.empty())
                co_return holder;
            auto choice = chooseAdapterPlace(placement->ledger, name, placement->asked, placement->leaving);
            if (!choice.upstreamId.empty()) {
                placement->placing.insert(name);
                const bool isLoaded = co_await loadAdapter(adapter.service, name, choice);
                if (auto* after = findPlacement(adapter.service))
                    after->placing.erase(name);
                if (isLoaded)
                    co_return choice.upstreamId;
            }
        }
        co_await sleepFor(m_state.context(), adapterPoll);
    }
    co_return unavailable("no upstream with the model could load the adapter in time");
}

asio::awaitable<bool> PlacementAgent::loadAdapter(std::string service, AdapterName adapter, AdapterChoice choice)
{
    if (!choice.evicted.first.empty()) {
        UpstreamOrder unload { .kind = OrderKind::Unload,
            .upstreamId = choice.upstreamId,
            .model = choice.evicted.first,
            .adapter = choice.evicted.second };
        const auto answer = co_await giveOrder(service, std::move(unload), "adapter-evicted");
        if (answer != OrderAnswer::Accepted && answer != OrderAnswer::AlreadyHolds)
            co_return false;
    }
    UpstreamOrder load {
        .kind = OrderKind::Load, .upstreamId = choice.upstreamId, .model = adapter.first, .adapter = adapter.second
    };
    const auto answer = co_await giveOrder(std::move(service), std::move(load), "adapter-asked");
    if (answer == OrderAnswer::Accepted)
        co_await sleepFor(m_state.context(), adapterArrival);
    co_return answer == OrderAnswer::Accepted || answer == OrderAnswer::AlreadyHolds;
}

PlacementAgent::ServicePlacement* PlacementAgent::findPlacement(const std::string& service)
{
    auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

void PlacementAgent::beginTerm()
{
    m_term = m_keeper.lease().fence();
    for (auto& [service, placement] : m_services) {
        placement.ledger.reset();
        assumeLoadsOfLastHolder(placement);
    }
    LOG(INFO) << "event=placement-term fence=" << m_term << " services=" << m_services.size();
}

void PlacementAgent::assumeLoadsOfLastHolder(ServicePlacement& placement)
{
    if (m_keeper.lease().origin() == LeaseOrigin::EarlierProcess)
        placement.ledger.assumeRecentLoads(std::chrono::nanoseconds(0));
    if (m_keeper.lease().origin() == LeaseOrigin::OtherInstance)
        placement.ledger.assumeRecentLoads(m_keeper.handoverPause());
}

asio::awaitable<void> PlacementAgent::keepPlacement()
{
    std::chrono::nanoseconds duration {};
    while (!m_keeper.isReleased()) {
        co_await sleepFor(m_state.context(), pauseAfterRound(planPacing, duration));
        duration = {};
        if (!m_keeper.mayOrder() || !m_state.configuration())
            continue;
        if (m_term != m_keeper.lease().fence())
            beginTerm();
        const auto configuration = m_state.configuration();
        const auto started = m_state.clock().now();
        for (const auto& service : configuration->services()) {
            if (!service.engine)
                continue;
            updateService(service);
            auto& placement = m_services.at(service.name);
            readUnknown(service.name, placement);
            giveUnsettled(service.name, placement);
            planService(service.name, placement);
        }
        duration = m_state.clock().now() - started;
        m_metrics.notePlan(duration);
        if (duration >= slowPlan)
            LOG(WARNING) << "event=plan-slow ms=" << millisecondsOf(duration).count()
                         << " upstreams=" << m_state.directory().all().size() << " fence=" << m_term;
    }
}

void PlacementAgent::updateService(const ServiceSpec& service)
{
    auto it = m_services.find(service.name);
    if (it == m_services.end()) {
        it = m_services.emplace(service.name, ServicePlacement(m_state.clock(), *service.engine)).first;
        assumeLoadsOfLastHolder(it->second);
    }
    auto& placement = it->second;
    placement.ledger.setEngine(*service.engine);
    std::vector<const UpstreamEntry*> entries;
    placement.leaving.clear();
    for (const auto* entry : m_state.directory().all()) {
        if (entry->service != service.name)
            continue;
        entries.push_back(entry);
        const auto down = m_down.find(entry->id);
        if (m_state.directory().isLeaving(*entry) || (down != m_down.end() && down->second == entry->startedAt))
            placement.leaving.insert(entry->id);
    }
    placement.ledger.update(entries);
}

void PlacementAgent::readUnknown(const std::string& service, ServicePlacement& placement)
{
    const auto now = m_state.clock().now();
    for (const auto& [id, upstream] : placement.ledger.upstreams()) {
        if (upstream.isBusy && upstream.busySince && now - *upstream.busySince > longestBusy)
            placement.ledger.distrust(id);
        const bool isDue = !upstream.isKnown && !upstream.isOrdering && !placement.leaving.count(id)
            && (!upstream.retryFrom || *upstream.retryFrom <= now);
        if (isDue && placement.reading.insert(id).second)
            spawnLogged(m_state.context(), readUpstream(service, id), "upstream-report");
    }
}

asio::awaitable<void> PlacementAgent::readUpstream(std::string service, std::string upstream)
{
    const auto* entry = m_state.directory().find(upstream);
    if (entry) {
        const auto startedAt = entry->startedAt;
        const auto deadline = m_state.clock().now() + reportTimeout;
        auto report = co_await m_binding.control().report(entry->address, upstream, deadline);
        auto* placement = findPlacement(service);
        if (report && report->isLeaving)
            m_state.noteLeaving(upstream, startedAt, "report");
        if (report && placement) {
            placement->ledger.noteReport(upstream, *report);
            LOG(INFO) << "event=upstream-report upstream=" << upstream << " orders=" << report->ordersAccepted
                      << " busy=" << report->isBusy << " models=" << report->models.size();
        } else if (!report) {
            LOG(INFO) << "event=upstream-report-failed upstream=" << upstream << " error=\"" << report.error().detail
                      << "\"";
            co_await sleepFor(m_state.context(), reportTimeout);
        }
    }
    if (auto* placement = findPlacement(service))
        placement->reading.erase(upstream);
}

void PlacementAgent::giveUnsettled(const std::string& service, ServicePlacement& placement)
{
    const auto now = m_state.clock().now();
    for (const auto& [id, upstream] : placement.ledger.upstreams()) {
        if (upstream.retryFrom && *upstream.retryFrom > now)
            continue;
        if (auto order = placement.ledger.unsettled(id))
            spawnLogged(m_state.context(), giveOrder(service, *order, "answer-lost"), "order");
    }
}

void PlacementAgent::planService(const std::string& service, ServicePlacement& placement)
{
    for (const auto& change : planPlacement(service, placement.ledger, m_demand, placement.leaving, {})) {
        UpstreamOrder order { .kind = change.kind, .upstreamId = change.upstreamId, .model = change.model };
        const std::string reason = "work-per-copy-" + std::to_string(static_cast<int>(change.workPerCopy));
        spawnLogged(m_state.context(), giveOrder(service, std::move(order), reason), "order");
    }
}

/// An instance that is cut off reports everything as unreachable; the holder therefore looks for itself, and goes on
/// looking until the upstream accepts connections again or is no longer in the directory.
asio::awaitable<void> PlacementAgent::checkReachable(std::string upstream)
{
    while (!m_keeper.isReleased()) {
        const auto* entry = m_state.directory().find(upstream);
        if (!entry)
            break;
        const auto startedAt = entry->startedAt;
        const bool isListening = co_await m_client.isListening(entry->address, reachabilityTimeout);
        const bool wasDown = m_down.count(upstream) > 0;
        if (isListening == wasDown)
            LOG(WARNING) << "event=dependency-" << (isListening ? "regained" : "lost")
                         << " dependency=upstream upstream=" << upstream << " started_at=" << startedAt;
        if (isListening)
            break;
        m_down[upstream] = startedAt;
        co_await sleepFor(m_state.context(), reachabilityInterval);
    }
    m_down.erase(upstream);
    m_checking.erase(upstream);
}

asio::awaitable<OrderAnswer> PlacementAgent::giveOrder(std::string service, UpstreamOrder order, std::string reason)
{
    auto* placement = findPlacement(service);
    const auto* entry = m_state.directory().find(order.upstreamId);
    if (!placement || !entry || !m_keeper.mayOrder())
        co_return OrderAnswer::Rejected;
    const auto* residency = placement->ledger.find(order.upstreamId);
    if (!residency || residency->isOrdering || !placement->ledger.fits(order))
        co_return OrderAnswer::Rejected;
    order.holder = m_state.instanceId();
    order.fence = m_keeper.lease().fence();
    const bool isStoreLoad
        = order.kind == OrderKind::Load && placement->ledger.isStoreLoad(order.upstreamId, order.model);
    order = placement->ledger.begin(std::move(order));
    const auto started = m_state.clock().now();
    const auto startedAt = entry->startedAt;
    const auto reply = co_await m_binding.control().give(entry->address, order, started + orderTimeout);
    const auto answer = reply.answer;
    if (reply.isLeaving)
        m_state.noteLeaving(order.upstreamId, startedAt, "order");
    if (auto* after = findPlacement(service))
        after->ledger.finish(order, answer);
    m_metrics.noteOrder(toString(order.kind), toString(answer));
    LOG(INFO) << "event=order kind=" << toString(order.kind) << " upstream=" << order.upstreamId
              << " model=" << order.model << " adapter=" << order.adapter << " expected=" << order.expectedOrders
              << " fence=" << order.fence << " lease_version=" << m_keeper.lease().expectedVersion()
              << " reason=" << reason << " store_load=" << isStoreLoad << " answer=" << toString(answer)
              << " ms=" << millisecondsOf(m_state.clock().now() - started).count();
    if (order.kind == OrderKind::Unload && order.adapter.empty() && answer == OrderAnswer::Accepted)
        m_state.hints().noteAbsent(order.upstreamId, order.model, "");
    co_return answer;
}

} // namespace bulrushstack
