#pragma once

#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/platform/instance_list.h"
#include "bulrushstack/platform/object_store.h"
#include "bulrushstack/platform/table_service.h"

#include <memory>

namespace bulrushstack {

/// Service "platform": provides the clients of the platform's table service, object store and instance list. They exist
/// after start().
class PlatformService final : public Service {
public:
    std::string_view name() const override { return "platform"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "http-client" }; }
    void start(ServiceRegistry& registry) override;

    TableService& tables() { return *m_tables; }
    ObjectStore& objects() { return *m_objects; }
    InstanceList& instances() { return *m_instances; }

private:
    std::unique_ptr<TableService> m_tables;
    std::unique_ptr<ObjectStore> m_objects;
    std::unique_ptr<InstanceList> m_instances;
};

/// Returns the settings for the addresses of the platform's services.
std::vector<SettingSpec> platformSettings();

} // namespace bulrushstack
