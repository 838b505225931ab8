#include "bulrushstack/membership/membership_service.h"

#include "bulrushstack/config/configuration_service.h"
#include "bulrushstack/engine/upstream_protocol_service.h"
#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"
#include "heartbeat.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <random>
#include <set>

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

/// Metrics of the membership service.
struct Metrics {
    explicit Metrics(prometheus::Registry& registry)
        : polls(prometheus::BuildCounter()
                    .Name("bulrush_membership_polls_total")
                    .Help("Polls of the instance list and of load reports, and heartbeats sent, by kind and result")
                    .Register(registry))
        , members(prometheus::BuildGauge()
                      .Name("bulrush_members")
                      .Help("Known instances by role and state")
                      .Register(registry))
        , peerMesh(prometheus::BuildGauge()
                       .Name("bulrush_peer_mesh")
                       .Help("Messages and bytes exchanged with other instances since the start")
                       .Register(registry))
    {
    }

    void countPoll(const char* kind, bool isSuccess)
    {
        polls.Add({ { "kind", kind }, { "result", isSuccess ? "success" : "failure" } }).Increment();
    }

    prometheus::Family<prometheus::Counter>& polls;
    void setPeerMesh(const PeerMeshCounters& counters)
    {
        const std::pair<const char*, std::uint64_t> values[] = {
            { "requests_received", counters.requestsReceived },
            { "requests_sent", counters.requestsSent },
            { "rejected_malformed", counters.rejectedMalformed },
            { "rejected_unauthenticated", counters.rejectedUnauthenticated },
            { "rejected_replayed", counters.rejectedReplayed },
            { "bytes_received", counters.bytesReceived },
            { "bytes_sent", counters.bytesSent },
        };
        for (const auto& [name, value] : values)
            peerMesh.Add({ { "counter", name } }).Set(static_cast<double>(value));
    }

    prometheus::Family<prometheus::Gauge>& members;
    prometheus::Family<prometheus::Gauge>& peerMesh;
};

bool containsInstance(const std::vector<InstanceRecord>& records, const std::string& id)
{
    return std::any_of(records.begin(), records.end(), [&](const InstanceRecord& record) { return record.id == id; });
}

} // namespace

struct MembershipService::State : std::enable_shared_from_this<MembershipService::State> {
    using PeriodicTask = asio::awaitable<void> (State::*)();

    State(ServiceRegistry& services, RuntimeService& runtimeService)
        : runtime(runtimeService)
        , platform(services.find<PlatformService>("platform"))
        , engines(services.find<UpstreamProtocolService>("upstream-protocols").engineClient())
        , mesh(services.find<PeerMeshService>("peers").mesh())
        , configuration(services.find<ConfigurationService>("configuration"))
        , context(services.context())
        , directory(runtime.clock(), InstanceDirectoryOptions())
        , metrics(runtime.metrics())
    {
    }

    void startPeriodic(PeriodicTask task, const char* interval);
    asio::awaitable<void> runPeriodically(PeriodicTask task, std::chrono::nanoseconds interval);
    asio::awaitable<void> pollInstanceList();
    asio::awaitable<void> requestFirstReports();
    void completeFirstReport(const std::string& id);
    asio::awaitable<void> sendFirstHeartbeats();
    void completeFirstHeartbeat(const std::string& id);
    asio::awaitable<void> pollLoadReports();
    asio::awaitable<void> pollLoadReport(InstanceRecord record);
    asio::awaitable<void> sendHeartbeats();
    asio::awaitable<void> sendHeartbeat(PeerView peer);
    Heartbeat makeHeartbeat() const;
    void handleHeartbeat(const Heartbeat& heartbeat);
    void updateMemberMetrics();

    RuntimeService& runtime;
    PlatformService& platform;
    EngineClient& engines;
    PeerMesh& mesh;
    ConfigurationService& configuration;
    asio::io_context& context;
    InstanceDirectory directory;
    Metrics metrics;
    std::set<asio::steady_timer*> timers;
    std::set<std::string> pendingRequests; ///< ids of instances with a request in progress
    std::set<std::string> pendingFirstReports; ///< engines of the first instance list whose first load report
                                               ///< has neither arrived nor failed
    std::set<std::string>
        pendingFirstHeartbeats; ///< peers of the first instance list that have neither replied nor failed
    std::set<std::pair<std::string, std::uint64_t>> loggedLeaving; ///< ids and incarnations logged as leaving
    std::minstd_rand random { std::random_device()() };
    bool isListed = false; ///< whether an instance list has contained this instance
    bool isLeaving = false;
    bool isStopped = false;
};

void MembershipService::State::startPeriodic(PeriodicTask task, const char* interval)
{
    asio::co_spawn(context, runPeriodically(task, runtime.settings().duration(interval)), asio::detached);
}

asio::awaitable<void> MembershipService::State::runPeriodically(PeriodicTask task, std::chrono::nanoseconds interval)
{
    auto self = shared_from_this();
    asio::steady_timer timer(context);
    timers.insert(&timer);
    // Jitter spreads out the polls of instances that were started at the same time.
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    while (!isStopped) {
        co_await (this->*task)();
        if (isStopped)
            break;
        timer.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(interval * jitter(random)));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    timers.erase(&timer);
}

asio::awaitable<void> MembershipService::State::pollInstanceList()
{
    static constexpr std::chrono::seconds instanceListTimeout { 2 };
    const auto requestedAt = runtime.clock().now();
    auto records = co_await platform.instances().list(requestedAt + instanceListTimeout);
    metrics.countPoll("roster", records.has_value());
    if (!records) {
        LOG_EVERY_N(WARNING, 20) << "event=roster-failed error=\"" << records.error().detail << "\"";
        if (directory.instanceListAge() == std::chrono::nanoseconds::max())
            runtime.setReady("membership", false, "the instance list has not been read yet");
        co_return;
    }
    const bool isFirst = directory.instanceListAge() == std::chrono::nanoseconds::max();
    directory.updateInstanceList(*records, requestedAt);
    if (!isListed && containsInstance(*records, runtime.identity().id)) {
        isListed = true;
        runtime.setReady("instance-list", true);
    }
    updateMemberMetrics();
    if (!isFirst)
        co_return;
    co_await sendFirstHeartbeats();
    co_await requestFirstReports();
}

/// Exchanges revisions of the configuration with the peers of the first instance list, so that this instance becomes
/// ready without the store if it has the highest one.
asio::awaitable<void> MembershipService::State::sendFirstHeartbeats()
{
    for (const auto& it : selectHeartbeatPeers(directory.peers(), runtime.identity().id))
        pendingFirstHeartbeats.insert(it.record.id);
    if (pendingFirstHeartbeats.empty())
        configuration.recordPeersAsked();
    co_await sendHeartbeats();
}

void MembershipService::State::completeFirstHeartbeat(const std::string& id)
{
    if (pendingFirstHeartbeats.erase(id) > 0 && pendingFirstHeartbeats.empty())
        configuration.recordPeersAsked();
}

/// Requests the first load report of every live engine. This instance becomes ready once each of them has arrived or
/// failed; before that, it would reject requests for models that are already in the memory of an engine.
asio::awaitable<void> MembershipService::State::requestFirstReports()
{
    for (const auto& it : directory.upstreams()) {
        if (it.record.role == InstanceRole::Engine && it.record.state == InstanceState::Live)
            pendingFirstReports.insert(it.record.id);
    }
    completeFirstReport({});
    co_await pollLoadReports();
}

void MembershipService::State::completeFirstReport(const std::string& id)
{
    pendingFirstReports.erase(id);
    if (pendingFirstReports.empty())
        runtime.setReady("membership", true);
    else
        runtime.setReady("membership", false, "waiting for the first load reports of engines");
}

void MembershipService::State::updateMemberMetrics()
{
    for (const auto& it : directory.leaving()) {
        if (loggedLeaving.insert(it).second)
            LOG(INFO) << "event=leaving member=" << it.first << " incarnation=" << it.second;
    }
    metrics.setPeerMesh(mesh.counters());
    const auto upstreams = directory.upstreams();
    for (auto role : { InstanceRole::Engine, InstanceRole::Service }) {
        for (auto state : { InstanceState::Live, InstanceState::Leaving }) {
            const auto n = std::count_if(upstreams.begin(), upstreams.end(),
                [&](const UpstreamView& view) { return view.record.role == role && view.record.state == state; });
            metrics.members.Add({ { "role", std::string(toString(role)) }, { "state", std::string(toString(state)) } })
                .Set(static_cast<double>(n));
        }
    }
}

asio::awaitable<void> MembershipService::State::pollLoadReports()
{
    for (const auto& it : directory.upstreams()) {
        if (it.record.role == InstanceRole::Engine && !pendingRequests.contains(it.record.id))
            asio::co_spawn(context, pollLoadReport(it.record), asio::detached);
    }
    co_return;
}

asio::awaitable<void> MembershipService::State::pollLoadReport(InstanceRecord record)
{
    static constexpr std::chrono::seconds loadTimeout { 1 };
    auto self = shared_from_this();
    pendingRequests.insert(record.id);
    auto report = co_await engines.loadReport(record.address, runtime.clock().now() + loadTimeout);
    pendingRequests.erase(record.id);
    metrics.countPoll("load", report.has_value());
    directory.recordConnection(record.id, report.has_value());
    if (report)
        directory.recordLoadReport(record.id, std::move(*report));
    if (!pendingFirstReports.empty())
        completeFirstReport(record.id);
}

Heartbeat MembershipService::State::makeHeartbeat() const
{
    const auto current = configuration.current();
    Heartbeat heartbeat;
    heartbeat.from = runtime.identity().id;
    heartbeat.incarnation = runtime.identity().incarnation;
    heartbeat.zone = runtime.identity().zone;
    heartbeat.state = isLeaving ? InstanceState::Leaving : InstanceState::Live;
    heartbeat.revision = current->revision();
    heartbeat.digest = current->digest();
    heartbeat.leaving = directory.leaving();
    return heartbeat;
}

asio::awaitable<void> MembershipService::State::sendHeartbeats()
{
    const auto selected = selectHeartbeatPeers(directory.peers(), runtime.identity().id);
    for (const auto& it : selected) {
        if (!pendingRequests.contains(it.record.id))
            asio::co_spawn(context, sendHeartbeat(it), asio::detached);
    }
    co_return;
}

asio::awaitable<void> MembershipService::State::sendHeartbeat(PeerView peer)
{
    static constexpr std::chrono::milliseconds heartbeatTimeout { 1000 };
    auto self = shared_from_this();
    pendingRequests.insert(peer.record.id);
    const Address address { .host = peer.record.address.host, .port = peer.record.peerPort };
    auto reply = co_await mesh.request(address, toJson(makeHeartbeat()), heartbeatTimeout);
    pendingRequests.erase(peer.record.id);
    if (isStopped)
        co_return;
    auto heartbeat = reply ? parseHeartbeat(*reply) : std::nullopt;
    metrics.countPoll("heartbeat", heartbeat.has_value());
    if (heartbeat)
        handleHeartbeat(*heartbeat);
    completeFirstHeartbeat(peer.record.id);
}

void MembershipService::State::handleHeartbeat(const Heartbeat& heartbeat)
{
    directory.recordHeartbeat(
        heartbeat.from, heartbeat.incarnation, heartbeat.state, heartbeat.revision, heartbeat.digest);
    const auto& ownId = runtime.identity().id;
    // The mark is that of an earlier process, which was started while the wall clock was ahead.
    if (const auto own = ownLeavingIncarnation(heartbeat, ownId); own && !isLeaving)
        mesh.raiseIncarnation(*own + 1);
    for (const auto& [id, incarnation] : heartbeat.leaving) {
        if (id != ownId)
            directory.markLeaving(id, incarnation);
    }
    // Announcements of the current revision are passed on as well: they count as contact, which keeps this instance
    // ready during an outage of the store.
    for (const auto& peer : directory.peers()) {
        if (peer.record.id != heartbeat.from)
            continue;
        const Address address { .host = peer.record.address.host, .port = peer.record.peerPort };
        configuration.handleAnnouncement({ .revision = heartbeat.revision, .digest = heartbeat.digest }, address);
    }
}

MembershipService::MembershipService() = default;
MembershipService::~MembershipService() = default;

void MembershipService::start(ServiceRegistry& registry)
{
    auto& runtime = registry.find<RuntimeService>("runtime");
    m_state = std::make_shared<State>(registry, runtime);
    runtime.setReady("membership", false, "the instance list has not been read yet");
    // Until then, the other instances would not wait for this one when a change must be in force everywhere.
    runtime.setReady("instance-list", false, "this instance is not in the instance list yet");
    m_state->mesh.handle("heartbeat", [weak = std::weak_ptr(m_state)](const nlohmann::json& request) -> nlohmann::json {
        auto state = weak.lock();
        auto heartbeat = parseHeartbeat(request);
        if (!state || !heartbeat)
            return { { "error", "malformed heartbeat" } };
        state->handleHeartbeat(*heartbeat);
        return toJson(state->makeHeartbeat());
    });
    m_state->startPeriodic(&State::pollInstanceList, "roster-poll-interval");
    m_state->startPeriodic(&State::pollLoadReports, "load-poll-interval");
    m_state->startPeriodic(&State::sendHeartbeats, "heartbeat-interval");
}

asio::awaitable<void> MembershipService::stop()
{
    m_state->isStopped = true;
    for (auto* it : m_state->timers)
        it->cancel();
    co_return;
}

InstanceDirectory& MembershipService::directory() { return m_state->directory; }

void MembershipService::announceLeaving()
{
    m_state->isLeaving = true;
    LOG(INFO) << "event=announce-leaving instance=" << m_state->runtime.identity().id;
    asio::co_spawn(m_state->context, m_state->sendHeartbeats(), asio::detached);
}

std::vector<SettingSpec> membershipSettings()
{
    return {
        { .name = "roster-poll-interval",
            .kind = SettingKind::Duration,
            .defaultValue = "500ms",
            .help = "time between polls of the instance list",
            .minimum = "10ms",
            .maximum = "1m" },
        { .name = "load-poll-interval",
            .kind = SettingKind::Duration,
            .defaultValue = "500ms",
            .help = "time between polls of an engine's load report",
            .minimum = "10ms",
            .maximum = "1m" },
        { .name = "heartbeat-interval",
            .kind = SettingKind::Duration,
            .defaultValue = "500ms",
            .help = "time between heartbeats to a peer",
            .minimum = "10ms",
            .maximum = "1m" },
    };
}

} // namespace bulrushstack
