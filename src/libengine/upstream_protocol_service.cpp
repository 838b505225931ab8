#include "bulrushstack/engine/upstream_protocol_service.h"

#include "bulrushstack/engine/http_upstream_clients.h"
#include "bulrushstack/net/net_services.h"

namespace bulrushstack {

void UpstreamProtocolService::start(ServiceRegistry& registry)
{
    auto& client = registry.find<HttpClientService>("http-client").client();
    m_engineClient = std::make_unique<HttpEngineClient>(client);
    m_serviceClient = std::make_unique<HttpServiceClient>(client);
}

} // namespace bulrushstack
