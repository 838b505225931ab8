#include "bulrushstack/execution/execution_service.h"

#include "bulrushstack/config/configuration_service.h"
#include "bulrushstack/engine/upstream_protocol_service.h"
#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/membership/membership_service.h"
#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"
#include "caller_api.h"

#include <glog/logging.h>
#include <random>

namespace bulrushstack {

namespace {

constexpr std::chrono::seconds peerQueryTimeout { 1 };
// When the HTTP server has drained, only calls whose caller has disconnected and background work on the journal are
// left. The timeout exceeds the usual deadlines of calls, so that they end before their executor is destroyed. The
// background work may wait for an outage of the table service that lasts longer; stopping it cannot lead to a second
// execution (section 17 of the design document).
constexpr std::chrono::seconds journalDrainTimeout { 150 };
constexpr std::chrono::seconds modelDrainTimeout { 5 };

boost::asio::awaitable<Result<nlohmann::json>> queryPeer(
    InstanceDirectory& directory, PeerMesh& mesh, std::string instanceId, nlohmann::json request)
{
    for (const auto& peer : directory.peers()) {
        if (peer.record.id != instanceId)
            continue;
        const Address address { .host = peer.record.address.host, .port = peer.record.peerPort };
        co_return co_await mesh.request(address, std::move(request), peerQueryTimeout);
    }
    co_return Failure {
        .code = Errc::NotFound, .verdict = Verdict::NotRun, .detail = "no instance with this id is known"
    };
}

HttpServerOptions serverOptions(const Settings& settings)
{
    HttpServerOptions out;
    out.address = settings.address("listen-address");
    out.headerLimit = settings.size("header-limit");
    out.bodyLimit = settings.size("body-limit");
    out.connectionLimit = settings.count("connection-limit");
    out.readTimeout = settings.duration("read-timeout");
    out.writeTimeout = settings.duration("write-timeout");
    out.idleTimeout = settings.duration("idle-timeout");
    return out;
}

ModelRequestOptions modelOptions(const RuntimeService& runtime)
{
    ModelRequestOptions out;
    out.zone = runtime.identity().zone;
    out.streamProgressTimeout = runtime.settings().duration("progress-timeout");
    out.randomSeed = std::random_device()();
    return out;
}

ServiceCallOptions serviceOptions(const RuntimeService& runtime)
{
    ServiceCallOptions out;
    out.progressTimeout = runtime.settings().duration("progress-timeout");
    return out;
}

} // namespace

struct ExecutionService::State {
    explicit State(ServiceRegistry& registry)
        : context(registry.context())
        , runtime(registry.find<RuntimeService>("runtime"))
        , configuration(registry.find<ConfigurationService>("configuration"))
        , membership(registry.find<MembershipService>("membership"))
        , protocols(registry.find<UpstreamProtocolService>("upstream-protocols"))
        , platform(registry.find<PlatformService>("platform"))
        , mesh(registry.find<PeerMeshService>("peers").mesh())
        , selector(membership.directory(), RoutingOptions())
        , models(modelDependencies(), modelOptions(runtime))
        , services(serviceDependencies(), serviceOptions(runtime))
        , api(apiDependencies())
        , server(context, serverOptions(runtime.settings()), api)
    {
    }

    ModelRequestDependencies modelDependencies()
    {
        return { context, runtime.clock(), protocols.engineClient(), selector, retries, systemTimerFactory(context) };
    }

    ServiceCallDependencies serviceDependencies()
    {
        auto query = [this](std::string instanceId, nlohmann::json request) {
            return queryPeer(membership.directory(), mesh, std::move(instanceId), std::move(request));
        };
        return { context, runtime.clock(), runtime.identity(), platform.tables(), protocols.serviceClient(), selector,
            retries, std::move(query) };
    }

    detail::CallerApiDependencies apiDependencies()
    {
        return {
            .clock = runtime.clock(),
            .metrics = runtime.metrics(),
            .models = models,
            .callService = [this](RequestContext request,
                               ServiceRequest call) { return services.execute(std::move(request), std::move(call)); },
            .configuration = [this] { return configuration.current(); },
            .unmetConditions = [this] { return runtime.unmetConditions(); },
            .bodyLimits = {},
        };
    }

    boost::asio::io_context& context;
    RuntimeService& runtime;
    ConfigurationService& configuration;
    MembershipService& membership;
    UpstreamProtocolService& protocols;
    PlatformService& platform;
    PeerMesh& mesh;
    UpstreamSelector selector;
    RetryBudget retries;
    ModelRequestExecutor models;
    ServiceCallExecutor services;
    detail::CallerApi api;
    HttpServer server;
};

ExecutionService::ExecutionService() = default;

ExecutionService::~ExecutionService() = default;

void ExecutionService::start(ServiceRegistry& registry)
{
    m_state = std::make_shared<State>(registry);
    auto& state = *m_state;
    const auto address = state.runtime.settings().address("listen-address");
    state.mesh.handle("journal-query", [weak = std::weak_ptr(m_state)](const nlohmann::json& request) {
        auto self = weak.lock();
        return self ? self->services.answerJournalQuery(request) : nlohmann::json { { "state", "unknown" } };
    });
    if (auto ec = state.server.start())
        throw std::runtime_error("cannot listen on --listen-address " + address.toString() + ": " + ec.message());
    state.runtime.setReady("serving", true);
    LOG(INFO) << "event=listen port=callers address=" << address.host << ":" << state.server.port();
}

boost::asio::awaitable<void> ExecutionService::stop()
{
    auto state = m_state;
    const auto& clock = state->runtime.clock();
    state->runtime.setReady("serving", false, "shutting down");
    state->membership.announceLeaving();
    const auto delay = state->runtime.settings().duration("drain-delay");
    LOG(INFO) << "event=drain-begin requests=" << state->server.activeRequests()
              << " delay=" << std::chrono::duration_cast<std::chrono::milliseconds>(delay).count() << "ms";
    co_await sleepFor(state->context, delay);
    state->api.beginShutdown();
    co_await state->server.drain();
    co_await state->services.drain(clock.now() + journalDrainTimeout);
    co_await state->models.drain(clock.now() + modelDrainTimeout);
    LOG(INFO) << "event=drain-end";
}

std::uint16_t ExecutionService::port() const { return m_state->server.port(); }

std::vector<SettingSpec> executionSettings()
{
    return {
        { .name = "listen-address", .kind = SettingKind::Address, .help = "where callers connect", .required = true },
        { .name = "header-limit",
            .kind = SettingKind::Size,
            .defaultValue = "16KiB",
            .help = "largest request header",
            .minimum = "1KiB",
            .maximum = "1MiB" },
        { .name = "body-limit",
            .kind = SettingKind::Size,
            .defaultValue = "8MiB",
            .help = "largest request body",
            .minimum = "1KiB",
            .maximum = "1GiB" },
        { .name = "connection-limit",
            .kind = SettingKind::Count,
            .defaultValue = "1024",
            .help = "connections of callers at one time",
            .minimum = "1",
            .maximum = "1000000" },
        { .name = "read-timeout",
            .kind = SettingKind::Duration,
            .defaultValue = "10s",
            .help = "time to read one request from its first byte",
            .minimum = "10ms",
            .maximum = "1h" },
        { .name = "write-timeout",
            .kind = SettingKind::Duration,
            .defaultValue = "10s",
            .help = "time in which a caller must take one chunk",
            .minimum = "10ms",
            .maximum = "1h" },
        { .name = "idle-timeout",
            .kind = SettingKind::Duration,
            .defaultValue = "60s",
            .help = "idle time of a kept-alive connection",
            .minimum = "10ms",
            .maximum = "1h" },
        { .name = "progress-timeout",
            .kind = SettingKind::Duration,
            .defaultValue = "5s",
            .help = "longest silence of an upstream during a stream or call",
            .minimum = "10ms",
            .maximum = "1h" },
        { .name = "drain-delay",
            .kind = SettingKind::Duration,
            .defaultValue = "2s",
            .help = "time for the load balancer to notice a shutdown",
            .minimum = "0s",
            .maximum = "1h" },
    };
}

} // namespace bulrushstack
