#include "bulrushstack/engine/engine_service.h"

#include "bulrushstack/engine/http_engine.h"
#include "bulrushstack/net/net_services.h"

namespace bulrushstack {

void UpstreamProtocolService::start(ServiceRegistry& registry)
{
    auto& client = registry.find<HttpClientService>("http-client").client();
    m_engines = std::make_unique<HttpModelEngine>(client);
    m_services = std::make_unique<HttpPlainService>(client);
}

} // namespace bulrushstack
