#include "bulrushstack/config/configuration_service.h"

#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"
#include "configuration_follower.h"

namespace bulrushstack {

struct ConfigurationService::State {
    std::shared_ptr<ConfigurationFollower> follower;
};

ConfigurationService::ConfigurationService()
    : m_state(std::make_shared<State>())
{
}

ConfigurationService::~ConfigurationService() = default;

void ConfigurationService::start(ServiceRegistry& registry)
{
    auto& runtime = registry.find<RuntimeService>("runtime");
    auto& platform = registry.find<PlatformService>("platform");
    auto& mesh = registry.find<PeerMeshService>("peers").mesh();
    FollowerOptions options;
    options.pollInterval = runtime.settings().duration("configuration-poll-interval");
    options.freshnessBound = runtime.settings().duration("freshness-bound");
    // If the store does not respond, the timeout must leave time for several attempts within the freshness bound.
    options.callTimeout = std::min<std::chrono::nanoseconds>(options.callTimeout, options.freshnessBound / 4);
    auto request = [&mesh](Address peer, nlohmann::json message, std::chrono::nanoseconds timeout) {
        return mesh.request(std::move(peer), std::move(message), timeout);
    };
    m_state->follower = std::make_shared<ConfigurationFollower>(
        registry.context(), runtime, platform.tables(), platform.objects(), std::move(request), options);
    mesh.handle("config-fetch", [follower = m_state->follower](const nlohmann::json& message) {
        return follower->handleFetchRequest(message);
    });
    m_state->follower->start();
}

boost::asio::awaitable<void> ConfigurationService::stop()
{
    auto follower = m_state->follower;
    co_await follower->stop();
}

ConfigurationPtr ConfigurationService::current() const
{
    return m_state->follower ? m_state->follower->current() : Configuration::empty();
}

bool ConfigurationService::adoptIfNewer(ConfigurationPtr configuration)
{
    return m_state->follower->adoptIfNewer(std::move(configuration));
}

void ConfigurationService::handleAnnouncement(ConfigurationHead head, Address peer)
{
    m_state->follower->handleAnnouncement(std::move(head), std::move(peer));
}

void ConfigurationService::recordPeersAsked() { m_state->follower->recordPeersAsked(); }

ConfigurationStore& ConfigurationService::store() { return m_state->follower->store(); }

std::vector<SettingSpec> configurationSettings()
{
    return {
        { .name = "configuration-poll-interval",
            .kind = SettingKind::Duration,
            .defaultValue = "500ms",
            .help = "mean time between reads of the configuration head",
            .minimum = "10ms",
            .maximum = "1m" },
        { .name = "freshness-bound",
            .kind = SettingKind::Duration,
            .defaultValue = "4s",
            .help = "time without contact with the store and all peers after which the instance is not ready",
            .minimum = "100ms",
            .maximum = "10m" },
    };
}

} // namespace bulrushstack
