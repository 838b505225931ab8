#pragma once

#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

/// Service "execution": the HTTP listener for callers (the clients of this API), which runs their inference requests on
/// engines and forwards their calls to backend HTTP services. Sets the readiness condition "serving" and answers the
/// message "journal-query" of other instances.
class ExecutionService final : public Service {
public:
    ExecutionService();
    ~ExecutionService() override;

    std::string_view name() const override { return "execution"; }
    std::vector<std::string> dependencies() const override
    {
        return { "runtime", "configuration", "membership", "upstream-protocols", "platform", "peers" };
    }
    void start(ServiceRegistry& registry) override;

    /// Shuts down gracefully: reports the instance as not ready, waits for the load balancer to notice (setting
    /// drain-delay), refuses new requests, and completes when every request in flight has its response and the journal
    /// is written, or when the time limits for the remaining background work have passed.
    boost::asio::awaitable<void> stop() override;

    /// Returns the TCP port of the listener for callers.
    std::uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Returns the settings of the listener for callers: its address, size limits and timeouts.
std::vector<SettingSpec> executionSettings();

} // namespace bulrushstack
