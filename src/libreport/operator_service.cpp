#include "bulrushstack/report/operator_service.h"

#include "bulrushstack/config/configuration_service.h"
#include "bulrushstack/membership/membership_service.h"
#include "operator_api.h"

#include <glog/logging.h>

namespace bulrushstack {

namespace {

/// Operator backend that uses the configuration and membership services of this instance.
class ServiceBackend final : public OperatorBackend {
public:
    ServiceBackend(ConfigurationService& configuration, MembershipService& membership)
        : m_configuration(configuration)
        , m_membership(membership)
    {
    }

    ConfigurationPtr configuration() const override { return m_configuration.current(); }
    bool activateConfiguration(ConfigurationPtr configuration) override
    {
        return m_configuration.adoptIfNewer(std::move(configuration));
    }
    ConfigurationStore& store() override { return m_configuration.store(); }
    std::vector<PeerView> peers() const override { return m_membership.directory().peers(); }
    std::chrono::nanoseconds instanceListAge() const override { return m_membership.directory().instanceListAge(); }
    UpstreamSnapshot upstreams() const override { return m_membership.directory().upstreams(); }

private:
    ConfigurationService& m_configuration;
    MembershipService& m_membership;
};

HttpServerOptions serverOptions(const Settings& settings)
{
    HttpServerOptions options;
    options.address = settings.address("operator-address");
    options.bodyLimit = 8 * 1024 * 1024; // largest permitted change in bytes
    options.connectionLimit = 64;
    return options;
}

} // namespace

struct OperatorService::State {
    State(ServiceRegistry& registry, RuntimeService& runtime)
        : backend(registry.find<ConfigurationService>("configuration"), registry.find<MembershipService>("membership"))
        , api(runtime, backend, runtime.settings().text("operator-token"))
        , server(registry.context(), serverOptions(runtime.settings()), api)
    {
    }

    ServiceBackend backend;
    OperatorApi api;
    HttpServer server;
};

OperatorService::OperatorService() = default;
OperatorService::~OperatorService() = default;

void OperatorService::start(ServiceRegistry& registry)
{
    auto& runtime = registry.find<RuntimeService>("runtime");
    m_state = std::make_unique<State>(registry, runtime);
    const auto address = runtime.settings().address("operator-address").toString();
    if (auto ec = m_state->server.start())
        throw std::runtime_error("cannot listen on --operator-address " + address + ": " + ec.message());
    LOG(INFO) << "event=listen port=operators address=" << address;
}

boost::asio::awaitable<void> OperatorService::stop() { co_await m_state->server.drain(); }

std::vector<SettingSpec> operatorSettings()
{
    return {
        { .name = "operator-address",
            .kind = SettingKind::Address,
            .help = "listen address of the operator API and of /metrics",
            .required = true },
        { .name = "operator-token",
            .kind = SettingKind::Text,
            .help = "bearer token of the operator API",
            .required = true,
            .secret = true },
    };
}

} // namespace bulrushstack
