#pragma once

#include "bulrushstack/engine/model_engine.h"
#include "bulrushstack/engine/plain_service.h"
#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

/// Service "upstream-protocols": the bindings to model engines and plain services.
class UpstreamProtocolService final : public Service {
public:
    std::string_view name() const override { return "upstream-protocols"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "http-client" }; }
    void start(ServiceRegistry& registry) override;

    ModelEngine& engines() { return *m_engines; }
    PlainService& services() { return *m_services; }

private:
    std::unique_ptr<ModelEngine> m_engines;
    std::unique_ptr<PlainService> m_services;
};

} // namespace bulrushstack
