#include "bulrushstack/platform/platform_service.h"

#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/http_platform.h"

namespace bulrushstack {

void PlatformService::start(ServiceRegistry& registry)
{
    const auto& settings = registry.find<RuntimeService>("runtime").settings();
    auto& client = registry.find<HttpClientService>("http-client").client();
    m_tables = std::make_unique<HttpTableService>(client, settings.address("table-service-address"));
    m_objects = std::make_unique<HttpObjectStore>(client, settings.address("object-store-address"));
    m_instances = std::make_unique<HttpInstanceList>(client, settings.address("instance-list-address"));
}

std::vector<SettingSpec> platformSettings()
{
    return {
        { .name = "table-service-address",
            .kind = SettingKind::Address,
            .help = "address of the platform's table service",
            .required = true },
        { .name = "object-store-address",
            .kind = SettingKind::Address,
            .help = "address of the platform's object store",
            .required = true },
        { .name = "instance-list-address",
            .kind = SettingKind::Address,
            .help = "address of the platform's instance list",
            .required = true },
    };
}

} // namespace bulrushstack
