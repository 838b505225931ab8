#include "bulrushstack/front/front_service.h"

#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/net/metrics_response.h"
#include "bulrushstack/net/net_services.h"
#include "loop_monitor.h"
#include "peer_relay.h"
#include "placement_agent.h"
#include "reachability_monitor.h"
#include "refusal_notices.h"
#include "request_forwarder.h"
#include "store_synchronizer.h"
#include "unanswered_log.h"
#include <algorithm>
#include <glog/logging.h>
#include <sys/resource.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Time within which the load balancer notices that this instance is no longer ready.
constexpr std::chrono::milliseconds balancerDelay { 2300 };
/// New requests are accepted for this part of the grace period at most: half of it.
constexpr int acceptDivisor = 2;

/// Requests that are still running are ended with an error this long before the grace period ends.
constexpr std::chrono::milliseconds abortMargin { 500 };
/// The process exits this long before the grace period ends.
constexpr std::chrono::milliseconds exitMargin { 200 };

/// Time to receive the body of a request, in addition to the time for its header.
constexpr std::chrono::seconds bodyTimeout { 10 };

/// Parts of client-buffer-limit, which bounds requests and responses together. Each leaves the other a third of it.
constexpr std::size_t requestBufferShare(std::size_t limit) { return limit / 3 * 2; }
constexpr std::size_t responseBufferShare(std::size_t limit) { return limit / 3 * 2; }
/// In addition to client-buffer-limit: requests on the port for other instances, which must still be read while clients
/// use all of theirs.
constexpr std::size_t controlBufferShare(std::size_t limit) { return limit / 6; }
/// Memory that a request may take beside its body, in bytes: many short header fields take more than their text.
constexpr std::size_t headMemory = 1024 * 1024;
constexpr std::size_t maxClientConnections = 3000;
/// File descriptors that clients must leave for upstreams, the store, other instances and readiness checks, unless the
/// process may open less than twice as many.
constexpr std::size_t reservedDescriptors = 1096;
constexpr std::size_t controlConnectionLimit = 1000;
/// Maximum size in bytes of a request body on the ports other than the one for clients.
constexpr std::uint64_t controlBodyLimit = 256 * 1024;
/// Maximum size in bytes of the headers that an instance adds to a request that it hands on.
constexpr std::size_t relayHeaderSize = 1024;
constexpr std::chrono::milliseconds drainCheckInterval { 20 };

PlatformLimits readPlatformLimits(const Settings& settings)
{
    PlatformLimits out;
    out.retryRatio = settings.number("retry-ratio");
    out.retrySlack = settings.number("retry-slack");
    out.stablePeriod = settings.duration("stable-period");
    out.configurationPeriod = settings.duration("configuration-period");
    out.leasePeriod = settings.duration("lease-period");
    out.drainPeriod = settings.duration("drain-period");
    out.gracePeriod = settings.duration("grace-period");
    out.quotaRule = { .window = settings.duration("quota-window"),
        .tolerance = settings.number("quota-tolerance"),
        .slack = settings.number("quota-slack") };
    return out;
}

/// Returns the maximum number of connections of clients: at least half of the descriptors that this process may open.
std::size_t clientConnectionLimit()
{
    rlimit descriptors {};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return maxClientConnections;
    const std::size_t n = descriptors.rlim_cur;
    const std::size_t unreserved = n - std::min(n, reservedDescriptors);
    return std::min(maxClientConnections, std::max(n / 2, unreserved));
}

HttpServerOptions ingressOptions(const Address& address, const RequestLimits& limits)
{
    // The idle timeout needs no margin: clients reuse an idle connection for at most four fifths of the idle timeout
    // that they were told.
    HttpServerOptions out;
    out.address = address;
    out.headerLimit = limits.headerBytes;
    out.bodyLimit = limits.bodyBytes;
    out.connectionLimit = clientConnectionLimit();
    out.readTimeout = limits.headerTimeout + bodyTimeout;
    out.idleTimeout = limits.idleTimeout;
    return out;
}

/// Other instances hand requests of clients on, with their own headers beside those of the client.
HttpServerOptions controlOptions(const Address& address, const RequestLimits& limits = {})
{
    HttpServerOptions out;
    out.address = address;
    out.headerLimit = limits.headerBytes + relayHeaderSize;
    out.bodyLimit = std::max(controlBodyLimit, limits.bodyBytes);
    out.connectionLimit = controlConnectionLimit;
    return out;
}

/// The memory that is held for clients and for upstreams' responses to them.
struct ClientMemory {
    ClientMemory(const Clock& clock, std::size_t limit)
        : clientBufferLimit(limit)
        , requests(std::make_shared<BufferBudget>(requestBufferShare(limit), whole))
        , control(std::make_shared<BufferBudget>(controlBufferShare(limit)))
        , responses(std::make_shared<BufferBudget>(responseBufferShare(limit), whole))
        , requestBuffers(std::make_shared<ClientBuffers>(clock, ClientBuffersOptions { .budget = requests }))
        , controlBuffers(std::make_shared<ClientBuffers>(clock, ClientBuffersOptions { .budget = control }))
    {
        whole->setLimit(limit);
    }

    /// Raises limits where a single request of a permitted size would not fit: one takes at most half of a budget.
    void setBodyLimit(std::uint64_t bodyBytes)
    {
        const std::size_t minimum = 2 * (bodyBytes + headMemory);
        requests->setLimit(std::max(requestBufferShare(clientBufferLimit), minimum));
        control->setLimit(std::max(controlBufferShare(clientBufferLimit), minimum));
        whole->setLimit(std::max(clientBufferLimit, minimum));
    }

    std::size_t clientBufferLimit;
    std::shared_ptr<BufferBudget> whole = std::make_shared<BufferBudget>(0);
    std::shared_ptr<BufferBudget> requests;
    std::shared_ptr<BufferBudget> control;
    std::shared_ptr<BufferBudget> responses;
    std::shared_ptr<ClientBuffers> requestBuffers;
    std::shared_ptr<ClientBuffers> controlBuffers;
};

HttpServerOptions withBuffers(HttpServerOptions options, std::shared_ptr<ClientBuffers> buffers)
{
    options.buffers = std::move(buffers);
    return options;
}

/// Handles the requests of clients.
class Ingress final : public HttpHandler {
public:
    explicit Ingress(RequestDependencies dependencies)
        : m_dependencies(dependencies)
        , m_unanswered("listen-address", dependencies.state, dependencies.format, dependencies.metrics)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        RequestForwarder forwarder(m_dependencies, exchange);
        co_await forwarder.run();
    }

    HttpResponse protocolError(unsigned status, std::string_view detail) override
    {
        LOG(INFO) << "event=request-unreadable status=" << status << " detail=\"" << detail << "\"";
        auto response = problemResponse(protocolProblem(status, detail), "");
        response.status = status;
        return response;
    }

    void onUnanswered(const UnansweredRequest& request) override { m_unanswered.record(request); }

private:
    RequestDependencies m_dependencies;
    UnansweredLog m_unanswered;
};

/// Handles the readiness checks of the load balancer.
class ReadinessHandler final : public HttpHandler {
public:
    ReadinessHandler(RuntimeService& runtime, std::string path)
        : m_runtime(runtime)
        , m_path(std::move(path))
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        HttpResponse response;
        response.status = exchange.request().path() != m_path ? 404 : m_runtime.isReady() ? 200 : 503;
        co_await exchange.respond(std::move(response));
    }

private:
    RuntimeService& m_runtime;
    std::string m_path;
};

class MetricsHandler final : public HttpHandler {
public:
    MetricsHandler(RuntimeService& runtime, const HttpClient& client, const ClientMemory& memory, FrontMetrics& metrics)
        : m_runtime(runtime)
        , m_client(client)
        , m_memory(memory)
        , m_metrics(metrics)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        m_metrics.setClientConnections(m_client.connectionCounts());
        const auto& requests = *m_memory.requestBuffers;
        const auto& control = *m_memory.controlBuffers;
        m_metrics.setClientBuffers({ .bytes = m_memory.whole->used() + control.used(),
            .refusedRequests = requests.refused() + control.refused(),
            .closedConnections = requests.closed() + control.closed() });
        co_await exchange.respond(metricsResponse(m_runtime.metrics()));
    }

private:
    RuntimeService& m_runtime;
    const HttpClient& m_client;
    const ClientMemory& m_memory;
    FrontMetrics& m_metrics;
};

/// Handles the requests of other instances: those of clients that they hand on, for tables of the store, for origins of
/// streams, and for the placement agent.
class ControlHandler final : public HttpHandler {
public:
    ControlHandler(TableRelay& tables, HttpHandler& origins, HttpHandler& agent, HttpHandler& relayedRequests,
        HttpHandler& refusalNotices, UnansweredLog unanswered)
        : m_unanswered(std::move(unanswered))
        , m_relayedRequests(relayedRequests)
        , m_refusalNotices(refusalNotices)
        , m_tables(tables)
        , m_origins(origins)
        , m_agent(agent)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        const bool isPost = exchange.request().method == "POST";
        const auto path = exchange.request().path();
        if (RelayedRequestHandler::isRelayed(exchange.request())) {
            co_await m_relayedRequests.handle(exchange);
        } else if (isPost && path == relayPath) {
            auto response = co_await m_tables.handle(exchange.request());
            co_await exchange.respond(std::move(response));
        } else if (isPost && (path == rememberOriginsPath || path == findOriginPath)) {
            co_await m_origins.handle(exchange);
        } else if (isPost && path == refusalNoticesPath) {
            co_await m_refusalNotices.handle(exchange);
        } else {
            co_await m_agent.handle(exchange);
        }
    }

    void onUnanswered(const UnansweredRequest& request) override { m_unanswered.record(request); }

private:
    UnansweredLog m_unanswered;
    HttpHandler& m_relayedRequests;
    HttpHandler& m_refusalNotices;
    TableRelay& m_tables;
    HttpHandler& m_origins;
    HttpHandler& m_agent;
};

StoreRelayOptions relayOptions(const RuntimeService& runtime, const Settings& settings, std::uint64_t randomSeed)
{
    StoreRelayOptions out { .randomSeed = randomSeed };
    out.self = { .instance = runtime.identity().id,
        .zone = runtime.identity().zone,
        .address = settings.address("control-address"),
        .processorShare = settings.number("processor-share") };
    out.readerChoice.minInstances = static_cast<unsigned>(settings.number("relay-min-instances"));
    return out;
}

void startServer(HttpServer& server, std::string_view setting, const Address& address)
{
    if (auto ec = server.start())
        throw std::runtime_error(
            "cannot listen on --" + std::string(setting) + " " + address.toString() + ": " + ec.message());
    LOG(INFO) << "event=listen setting=" << setting << " address=" << address.toString();
}

} // namespace

struct FrontService::Components {
    Components(ServiceRegistry& registry, RuntimeService& runtimeService, HttpClient& client,
        const FrontBindingFactory& createBinding)
        : runtime(runtimeService)
        , context(registry.context())
        , settings(runtimeService.settings())
        , state(context, runtime.clock(), runtime.identity().id, runtime.identity().zone, readPlatformLimits(settings))
        , metrics(runtime.metrics())
        , memory(runtime.clock(), settings.size("client-buffer-limit"))
        , binding(createBinding(client, runtime.clock(), settings.address("store-address")))
        , relay(context, client, runtime.clock(), relayOptions(runtime, settings, state.random()), binding->tableFeed())
        , origins(state, client, runtime.identity().id)
        , agent(state, client, *binding, metrics, relay, origins)
        , storeSynchronizer(state, *binding, metrics, relay)
        , loopMonitor(state, metrics)
        , reachabilityMonitor(state, client)
        , peerRelay(state, client, origins)
        , processes(context, runtime.clock(), client)
        , refusalNotices(state, client, origins)
        , ingress(requestDependencies(client))
        , relayedRequests(requestDependencies(client))
        , controlHandler(relay.tables(), origins, agent, relayedRequests, refusalNotices,
              { "control-address", state, binding->requestFormat(), metrics })
        , readiness(runtime, binding->readinessPath())
        , metricsHandler(runtime, client, memory, metrics)
        , ingressServer(context,
              withBuffers(ingressOptions(settings.address("listen-address"), {}), memory.requestBuffers), ingress)
        , readinessServer(context, controlOptions(settings.address("ready-address")), readiness)
        , controlServer(context,
              withBuffers(controlOptions(settings.address("control-address")), memory.controlBuffers), controlHandler)
        , metricsServer(context, controlOptions(settings.address("metrics-address")), metricsHandler)
    {
        memory.setBodyLimit(RequestLimits().bodyBytes);
        storeSynchronizer.onUpstreamsLoaded = [this] { runtime.setReady("directory", true); };
        storeSynchronizer.onConfigurationApplied = [this](const ServingConfiguration& configuration) {
            runtime.setReady("configuration", true);
            memory.setBodyLimit(configuration.limits().bodyBytes);
            ingressServer.setLimits(ingressOptions(settings.address("listen-address"), configuration.limits()));
            controlServer.setLimits(controlOptions(settings.address("control-address"), configuration.limits()));
        };
    }

    RequestDependencies requestDependencies(HttpClient& client)
    {
        return { .state = state,
            .client = client,
            .processes = processes,
            .format = binding->requestFormat(),
            .adapters = agent,
            .permits = agent.permits(),
            .quotas = agent.quotas(),
            .trials = agent.trials(),
            .origins = origins,
            .upstreams = storeSynchronizer,
            .relay = peerRelay,
            .refusals = refusalNotices,
            .metrics = metrics,
            .responseBuffers = memory.responses };
    }

    RuntimeService& runtime;
    asio::io_context& context;
    Settings settings;
    FrontState state;
    FrontMetrics metrics;
    ClientMemory memory;
    std::unique_ptr<FrontBinding> binding;
    StoreRelay relay;
    StreamOriginService origins;
    PlacementAgent agent;
    StoreSynchronizer storeSynchronizer;
    LoopMonitor loopMonitor;
    ReachabilityMonitor reachabilityMonitor;
    PeerRelay peerRelay;
    ProcessMonitors processes;
    RefusalNotices refusalNotices;
    Ingress ingress;
    RelayedRequestHandler relayedRequests;
    ControlHandler controlHandler;
    ReadinessHandler readiness;
    MetricsHandler metricsHandler;
    HttpServer ingressServer;
    HttpServer readinessServer;
    HttpServer controlServer;
    HttpServer metricsServer;
};

FrontService::FrontService(FrontBindingFactory createBinding)
    : m_createBinding(std::move(createBinding))
{
}

FrontService::~FrontService() = default;

void FrontService::start(ServiceRegistry& registry)
{
    auto& runtime = registry.find<RuntimeService>("runtime");
    auto& client = registry.find<HttpClientService>("http-client").client();
    runtime.setReady("configuration", false, "not read yet");
    runtime.setReady("directory", false, "not read yet");
    runtime.setReady("shutdown", true);
    m_components = std::make_unique<Components>(registry, runtime, client, m_createBinding);
    const auto& settings = m_components->settings;
    startServer(m_components->readinessServer, "ready-address", settings.address("ready-address"));
    startServer(m_components->controlServer, "control-address", settings.address("control-address"));
    startServer(m_components->metricsServer, "metrics-address", settings.address("metrics-address"));
    LOG(INFO) << "event=client-connection-limit limit=" << clientConnectionLimit();
    startServer(m_components->ingressServer, "listen-address", settings.address("listen-address"));
    m_components->storeSynchronizer.start();
    spawnLogged(m_components->context, m_components->loopMonitor.run(), "loop-monitor");
    spawnLogged(m_components->context, m_components->origins.run(), "stream-origins");
    spawnLogged(m_components->context, m_components->reachabilityMonitor.run(), "reachability-monitor");
    spawnLogged(m_components->context, m_components->refusalNotices.run(), "refusal-notices");
    m_components->agent.start();
}

asio::awaitable<void> FrontService::stop()
{
    auto& components = *m_components;
    const auto gracePeriod = components.state.platformLimits().gracePeriod;
    const auto graceEnd = components.runtime.clock().now() + gracePeriod;
    const auto abortTime = graceEnd - abortMargin;
    components.runtime.setReady("shutdown", false, "shutting down");
    components.state.beginShutdown(abortTime);
    components.ingressServer.disableKeepAlive();
    components.relayedRequests.stop();
    spawnLogged(components.context, components.agent.stop(), "placement-stop");
    co_await sleepFor(
        components.context, std::min<std::chrono::nanoseconds>(balancerDelay, gracePeriod / acceptDivisor));
    spawnLogged(components.context, components.ingressServer.drain(), "ingress-drain");
    const bool isDrained = co_await awaitRequests(abortTime);
    LOG(INFO) << "event=drained complete=" << isDrained << " left=" << components.ingressServer.activeRequests()
              << " relayed=" << components.relayedRequests.activeRequests();
    if (!isDrained) {
        components.state.abortRequests();
        co_await awaitRequests(graceEnd - exitMargin);
    }
    components.storeSynchronizer.stop();
    components.loopMonitor.stop();
    components.origins.stop();
    components.reachabilityMonitor.stop();
    components.refusalNotices.stop();
}

/// Waits until no request is in progress, or until the deadline. Returns whether none is.
asio::awaitable<bool> FrontService::awaitRequests(SteadyTime deadline)
{
    auto& components = *m_components;
    for (;;) {
        if (components.ingressServer.isDrained() && components.relayedRequests.activeRequests() == 0)
            co_return true;
        if (components.runtime.clock().now() >= deadline)
            co_return false;
        co_await sleepFor(components.context, drainCheckInterval);
    }
}

void FrontService::reload(const Settings& settings)
{
    auto& components = *m_components;
    std::string needRestart;
    for (const auto& spec : frontSettings()) {
        if (!spec.isReloadable && settings.text(spec.name) != components.settings.text(spec.name))
            needRestart += (needRestart.empty() ? "" : ",") + spec.name;
    }
    components.binding->setStoreAddress(settings.address("store-address"));
    if (readPlatformLimits(settings) != components.state.platformLimits())
        components.state.setPlatformLimits(readPlatformLimits(settings));
    components.settings = settings;
    LOG(INFO) << "event=reload store=" << settings.text("store-address") << " need_restart=" << needRestart;
}

std::vector<SettingSpec> frontSettings()
{
    return {
        { .name = "listen-address",
            .kind = SettingKind::Address,
            .help = "where callers reach this instance",
            .required = true },
        { .name = "ready-address",
            .kind = SettingKind::Address,
            .help = "where the load balancer asks whether this instance is ready",
            .required = true },
        { .name = "control-address",
            .kind = SettingKind::Address,
            .help = "where other instances reach this one",
            .required = true },
        { .name = "metrics-address", .kind = SettingKind::Address, .help = "where metrics are read", .required = true },
        { .name = "store-address",
            .kind = SettingKind::Address,
            .help = "the platform's store",
            .required = true,
            .isReloadable = true },
        { .name = "client-buffer-limit",
            .kind = SettingKind::Size,
            .defaultValue = "48MiB",
            .help
            = "memory for requests of clients and buffered responses of upstreams; clients beyond it are refused, and "
              "stalled ones closed",
            .minimum = "1MiB",
            .maximum = "1TiB" },
        { .name = "processor-share",
            .kind = SettingKind::Number,
            .defaultValue = "1",
            .help
            = "share of a processor core that this instance may use; instances with a larger share take more of the "
              "common work" },
        { .name = "relay-min-instances",
            .kind = SettingKind::Number,
            .defaultValue = "128",
            .help = "number of instances from which on a few of them read the store for the others" },
        { .name = "retry-ratio",
            .kind = SettingKind::Number,
            .defaultValue = "0.1",
            .help = "repeated arrivals that the platform permits per request, over all instances",
            .isReloadable = true },
        { .name = "retry-slack",
            .kind = SettingKind::Number,
            .defaultValue = "10",
            .help = "repeated arrivals that the platform permits beside the ratio, over all instances",
            .isReloadable = true },
        { .name = "stable-period",
            .kind = SettingKind::Duration,
            .defaultValue = "3s",
            .help = "time after which a repaired dependency counts as repaired",
            .minimum = "100ms",
            .maximum = "1m",
            .isReloadable = true },
        { .name = "configuration-period",
            .kind = SettingKind::Duration,
            .defaultValue = "2s",
            .help = "time in which a change of the configuration is in force",
            .minimum = "100ms",
            .maximum = "1m",
            .isReloadable = true },
        { .name = "lease-period",
            .kind = SettingKind::Duration,
            .defaultValue = "3s",
            .help = "time between orders of two holders of the placement lease",
            .minimum = "100ms",
            .maximum = "1m",
            .isReloadable = true },
        { .name = "drain-period",
            .kind = SettingKind::Duration,
            .defaultValue = "2s",
            .help = "time after an upstream's departure in which it may still get requests",
            .minimum = "100ms",
            .maximum = "1m",
            .isReloadable = true },
        { .name = "grace-period",
            .kind = SettingKind::Duration,
            .defaultValue = "8s",
            .help = "time between SIGTERM and SIGKILL",
            .minimum = "1s",
            .maximum = "10m",
            .isReloadable = true },
        { .name = "quota-window",
            .kind = SettingKind::Duration,
            .defaultValue = "8s",
            .help = "time over which the platform sums up the use of a team's quota",
            .minimum = "100ms",
            .maximum = "10m",
            .isReloadable = true },
        { .name = "quota-tolerance",
            .kind = SettingKind::Number,
            .defaultValue = "0.1",
            .help = "share of a team's quota by which all instances together may exceed it in the window",
            .isReloadable = true },
        { .name = "quota-slack",
            .kind = SettingKind::Number,
            .defaultValue = "0",
            .help = "units by which all instances together may exceed a team's quota beside the tolerance",
            .isReloadable = true },
    };
}

} // namespace bulrushstack
