#include "bulrushstack/front/front_service.h"

#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/net/metrics_response.h"
#include "bulrushstack/net/net_services.h"
#include "directory_keeper.h"
#include "loop_monitor.h"
#include "placement_agent.h"
#include "request_run.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Time in which the load balancer notices that this instance is not ready any more.
constexpr std::chrono::milliseconds balancerDelay { 2300 };

/// What is left of the grace period when the last requests are given up.
constexpr std::chrono::milliseconds exitMargin { 400 };

/// Time for the body of a request, beside that for its header.
constexpr std::chrono::seconds bodyTimeout { 10 };

constexpr std::size_t connectionLimit = 3000;
constexpr std::size_t controlConnectionLimit = 1000;
constexpr std::uint64_t controlBodyLimit = 256 * 1024; ///< bytes

FrontBounds readBounds(const Settings& settings)
{
    FrontBounds out;
    out.retryRatio = settings.number("retry-ratio");
    out.retrySlack = settings.number("retry-slack");
    out.stablePeriod = settings.duration("stable-period");
    out.configurationPeriod = settings.duration("configuration-period");
    out.leasePeriod = settings.duration("lease-period");
    out.gracePeriod = settings.duration("grace-period");
    return out;
}

HttpServerOptions ingressOptions(const Address& address, const RequestLimits& limits)
{
    // Callers reuse connections up to four fifths of the idle time that they were told.
    HttpServerOptions out;
    out.address = address;
    out.headerLimit = limits.headerBytes;
    out.bodyLimit = limits.bodyBytes;
    out.connectionLimit = connectionLimit;
    out.readTimeout = limits.headerTimeout + bodyTimeout;
    out.idleTimeout = limits.idleTimeout;
    return out;
}

HttpServerOptions controlOptions(const Address& address)
{
    HttpServerOptions out;
    out.address = address;
    out.bodyLimit = controlBodyLimit;
    out.connectionLimit = controlConnectionLimit;
    return out;
}

/// Answers requests of callers.
class Ingress final : public HttpHandler {
public:
    explicit Ingress(RequestServices services)
        : m_services(services)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        RequestRun run(m_services, exchange);
        co_await run.run();
    }

    HttpResponse protocolError(unsigned status, std::string_view detail) override
    {
        LOG(INFO) << "event=request-unreadable status=" << status << " detail=\"" << detail << "\"";
        auto response = problemResponse(protocolProblem(status, detail), "");
        response.status = status;
        return response;
    }

private:
    RequestServices m_services;
};

/// Answers the load balancer.
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
    explicit MetricsHandler(RuntimeService& runtime)
        : m_runtime(runtime)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        co_await exchange.respond(metricsResponse(m_runtime.metrics()));
    }

private:
    RuntimeService& m_runtime;
};

void startServer(HttpServer& server, std::string_view setting, const Address& address)
{
    if (auto ec = server.start())
        throw std::runtime_error(
            "cannot listen on --" + std::string(setting) + " " + address.toString() + ": " + ec.message());
    LOG(INFO) << "event=listen setting=" << setting << " address=" << address.toString();
}

} // namespace

struct FrontService::State {
    State(ServiceRegistry& registry, RuntimeService& runtimeService, HttpClient& client,
        const FrontBindingFactory& createBinding)
        : runtime(runtimeService)
        , context(registry.context())
        , settings(runtimeService.settings())
        , state(context, runtime.clock(), runtime.identity().id, runtime.identity().zone, readBounds(settings))
        , metrics(runtime.metrics())
        , binding(createBinding(client, runtime.clock(), settings.address("store-address")))
        , agent(state, client, *binding, metrics, settings.address("control-address"))
        , keeper(state, *binding, metrics)
        , monitor(state, metrics)
        , ingress({ .state = state,
              .client = client,
              .format = binding->requests(),
              .adapters = agent,
              .metrics = metrics })
        , readiness(runtime, binding->readinessPath())
        , metricsHandler(runtime)
        , ingressServer(context, ingressOptions(settings.address("listen-address"), {}), ingress)
        , readinessServer(context, controlOptions(settings.address("ready-address")), readiness)
        , controlServer(context, controlOptions(settings.address("control-address")), agent)
        , metricsServer(context, controlOptions(settings.address("metrics-address")), metricsHandler)
    {
        keeper.onFirstReading = [this] { runtime.setReady("directory", true); };
        keeper.onConfiguration = [this](const ServingConfiguration& configuration) {
            runtime.setReady("configuration", true);
            ingressServer.setLimits(ingressOptions(settings.address("listen-address"), configuration.limits()));
        };
    }

    RuntimeService& runtime;
    asio::io_context& context;
    Settings settings;
    FrontState state;
    FrontMetrics metrics;
    std::unique_ptr<FrontBinding> binding;
    PlacementAgent agent;
    DirectoryKeeper keeper;
    LoopMonitor monitor;
    Ingress ingress;
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
    m_state = std::make_unique<State>(registry, runtime, client, m_createBinding);
    const auto& settings = m_state->settings;
    startServer(m_state->readinessServer, "ready-address", settings.address("ready-address"));
    startServer(m_state->controlServer, "control-address", settings.address("control-address"));
    startServer(m_state->metricsServer, "metrics-address", settings.address("metrics-address"));
    startServer(m_state->ingressServer, "listen-address", settings.address("listen-address"));
    m_state->keeper.start();
    spawnLogged(m_state->context, m_state->monitor.run(), "loop-monitor");
    m_state->agent.start();
}

asio::awaitable<void> FrontService::stop()
{
    auto& state = *m_state;
    const auto deadline = state.runtime.clock().now() + state.state.bounds().gracePeriod - exitMargin;
    state.runtime.setReady("shutdown", false, "shutting down");
    state.ingressServer.disableKeepAlive();
    spawnLogged(state.context, state.agent.stop(), "placement-stop");
    co_await sleepFor(state.context, balancerDelay);
    asio::steady_timer timer(state.context, deadline);
    auto isDrained = std::make_shared<bool>(false);
    auto drain = [](HttpServer& server, asio::steady_timer& wake, std::shared_ptr<bool> done) -> asio::awaitable<void> {
        co_await server.drain();
        *done = true;
        wake.cancel();
    };
    spawnLogged(state.context, drain(state.ingressServer, timer, isDrained), "ingress-drain");
    if (!*isDrained)
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    LOG(INFO) << "event=drained complete=" << *isDrained << " left=" << state.ingressServer.activeRequests();
    state.keeper.stop();
    state.monitor.stop();
}

void FrontService::reload(const Settings& settings)
{
    auto& state = *m_state;
    std::string needRestart;
    for (const auto& spec : frontSettings()) {
        if (!spec.isReloadable && settings.text(spec.name) != state.settings.text(spec.name))
            needRestart += (needRestart.empty() ? "" : ",") + spec.name;
    }
    state.binding->setStoreAddress(settings.address("store-address"));
    if (readBounds(settings) != state.state.bounds())
        state.state.setBounds(readBounds(settings));
    state.settings = settings;
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
        { .name = "grace-period",
            .kind = SettingKind::Duration,
            .defaultValue = "8s",
            .help = "time between SIGTERM and SIGKILL",
            .minimum = "1s",
            .maximum = "10m",
            .isReloadable = true },
    };
}

} // namespace bulrushstack
