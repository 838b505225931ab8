#pragma once

#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

/// Service "execution": the listener for callers, model requests and calls of plain services. Sets the readiness
/// condition "serving" and answers the peer message "journal-query".
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

    /// Reports not ready, waits for the load balancer, refuses new requests and completes when every request in
    /// flight has its answer and the journal is written.
    boost::asio::awaitable<void> stop() override;

    /// Returns the port that callers connect to.
    std::uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Settings of the callers' listener, its limits and the time-outs of requests.
std::vector<SettingSpec> executionSettings();

} // namespace bulrushstack
