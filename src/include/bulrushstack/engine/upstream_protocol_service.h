#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/engine/service_client.h"
#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

/// Service "upstream-protocols": owns the clients for the two kinds of upstreams, inference engines and other HTTP
/// services.
class UpstreamProtocolService final : public Service {
public:
    std::string_view name() const override { return "upstream-protocols"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "http-client" }; }
    void start(ServiceRegistry& registry) override;

    EngineClient& engineClient() { return *m_engineClient; }
    ServiceClient& serviceClient() { return *m_serviceClient; }

private:
    std::unique_ptr<EngineClient> m_engineClient;
    std::unique_ptr<ServiceClient> m_serviceClient;
};

} // namespace bulrushstack
