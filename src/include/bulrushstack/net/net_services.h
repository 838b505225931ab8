#pragma once

#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/peer_mesh.h"

#include <memory>

namespace bulrushstack {

/// Service "http-client": the pool of outgoing HTTP connections.
class HttpClientService final : public Service {
public:
    std::string_view name() const override { return "http-client"; }
    std::vector<std::string> dependencies() const override { return { "runtime" }; }
    void start(ServiceRegistry& registry) override;

    HttpClient& client() { return *m_client; }

private:
    std::unique_ptr<HttpClient> m_client;
};

/// Service "peers": messages between instances. Other services register their message types in start().
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

/// Settings of the peer port and its keys.
std::vector<SettingSpec> peerSettings();

} // namespace bulrushstack
