#pragma once

#include "bulrushstack/front/front_binding.h"
#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/net/http_client.h"

#include <functional>
#include <memory>
#include <vector>

namespace bulrushstack {

/// Creates the binding to a platform. The binding keeps references to the client and the clock.
using FrontBindingFactory
    = std::function<std::unique_ptr<FrontBinding>(HttpClient& client, const Clock& clock, Address storeAddress)>;

/// Service "front": a reverse proxy between the clients of a platform and its upstreams. It reads its configuration and
/// the list of upstreams from the platform's store and answers the readiness checks of the platform's load balancer.
class FrontService final : public Service {
public:
    explicit FrontService(FrontBindingFactory createBinding);
    ~FrontService() override;

    std::string_view name() const override { return "front"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "http-client" }; }
    void start(ServiceRegistry& registry) override;
    boost::asio::awaitable<void> stop() override;

    /// Applies settings that were read again: the address of the store and the limits of the platform. Changes of other
    /// settings need a restart and are listed in the log.
    void reload(const Settings& settings);

private:
    struct Components;

    boost::asio::awaitable<bool> awaitRequests(SteadyTime deadline);

    FrontBindingFactory m_createBinding;
    std::unique_ptr<Components> m_components;
};

/// Returns the descriptions of the front's settings.
std::vector<SettingSpec> frontSettings();

} // namespace bulrushstack
