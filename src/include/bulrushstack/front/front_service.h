#pragma once

#include "bulrushstack/front/front_binding.h"
#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/net/http_client.h"

#include <functional>
#include <memory>
#include <vector>

namespace bulrushstack {

/// Creates the binding to a platform.
using FrontBindingFactory
    = std::function<std::unique_ptr<FrontBinding>(HttpClient& client, const Clock& clock, Address storeAddress)>;

/// Service "front": serves a platform's requests with its store, its upstreams and its load balancer.
class FrontService final : public Service {
public:
    explicit FrontService(FrontBindingFactory createBinding);
    ~FrontService() override;

    std::string_view name() const override { return "front"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "http-client" }; }
    void start(ServiceRegistry& registry) override;
    boost::asio::awaitable<void> stop() override;

    /// Takes settings that were read again: the address of the store and the bounds of the platform. Others need a
    /// restart and are named in the log.
    void reload(const Settings& settings);

private:
    struct Components;
    FrontBindingFactory m_createBinding;
    std::unique_ptr<Components> m_components;
};

/// Settings of the front.
std::vector<SettingSpec> frontSettings();

} // namespace bulrushstack
