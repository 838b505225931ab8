#pragma once

#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

/// Service "operator": the HTTP listener for the operator API and for scrapes of the Prometheus metrics.
class OperatorService final : public Service {
public:
    OperatorService();
    ~OperatorService() override;

    std::string_view name() const override { return "operator"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "configuration", "membership" }; }

    /// Opens the listener. Throws std::runtime_error if the address cannot be bound.
    void start(ServiceRegistry& registry) override;
    boost::asio::awaitable<void> stop() override;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Returns the settings of the operator listener: its address and the bearer token of the operators.
std::vector<SettingSpec> operatorSettings();

} // namespace bulrushstack
