#include "bulrushstack/net/net_services.h"

#include <glog/logging.h>

namespace bulrushstack {

void HttpClientService::start(ServiceRegistry& registry)
{
    auto& runtime = registry.find<RuntimeService>("runtime");
    m_client = std::make_unique<HttpClient>(registry.context(), runtime.clock());
}

void PeerMeshService::start(ServiceRegistry& registry)
{
    auto& runtime = registry.find<RuntimeService>("runtime");
    const auto& settings = runtime.settings();
    PeerMeshOptions options {
        .address = settings.address("peer-address"),
        .instanceId = runtime.identity().id,
        .incarnation = runtime.identity().incarnation,
        .keys = { settings.text("peer-key") },
    };
    if (settings.isSet("peer-key-previous"))
        options.keys.push_back(settings.text("peer-key-previous"));
    m_mesh = std::make_unique<PeerMesh>(registry.context(), runtime.clock(), std::move(options));
    if (auto ec = m_mesh->start())
        throw std::runtime_error(
            "cannot listen on --peer-address " + settings.address("peer-address").toString() + ": " + ec.message());
    LOG(INFO) << "event=listen port=peers address=" << settings.address("peer-address").toString();
}

boost::asio::awaitable<void> PeerMeshService::stop() { co_await m_mesh->stop(); }

std::vector<SettingSpec> peerSettings()
{
    return {
        { .name = "peer-address",
            .kind = SettingKind::Address,
            .help = "address on which this instance listens for other instances and at which they reach it",
            .required = true },
        { .name = "peer-key",
            .kind = SettingKind::Text,
            .help = "shared secret that signs messages between instances",
            .required = true,
            .secret = true },
        { .name = "peer-key-previous",
            .kind = SettingKind::Text,
            .help = "second shared secret that is also accepted, for a key rotation",
            .secret = true },
    };
}

} // namespace bulrushstack
