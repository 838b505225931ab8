#pragma once

#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/peer_mesh.h"

#include <memory>

namespace bulrushstack {

/// Service "http-client": owns the HttpClient that all services share, with its pool of outgoing connections.
class HttpClientService final : public Service {
public:
    std::string_view name() const override { return "http-client"; }
    std::vector<std::string> dependencies() const override { return { "runtime" }; }
    void start(ServiceRegistry& registry) override;

    HttpClient& client() { return *m_client; }

private:
    std::unique_ptr<HttpClient> m_client;
};

/// Service "peers": sends and receives messages between instances. Other services register handlers for their message
/// types in their start().
class PeerMeshService final : public Service {
public:
    std::string_view name() const override { return "peers"; }
    std::vector<std::string> dependencies() const override { return { "runtime" }; }
    void start(ServiceRegistry& registry) override;
    boost::asio::awaitable<void> stop() override;

    PeerMesh& mesh() { return *m_mesh; }

private:
    std::unique_ptr<PeerMesh> m_mesh;
};

/// Returns the settings of the peer listener and of the keys that sign peer messages.
std::vector<SettingSpec> peerSettings();

} // namespace bulrushstack
