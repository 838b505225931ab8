#pragma once

#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

/// Service "operator": the listener for operators and for the scrape of metrics.
class OperatorService final : public Service {
public:
    OperatorService();
    ~OperatorService() override;

    std::string_view name() const override { return "operator"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "configuration", "membership" }; }
    void start(ServiceRegistry& registry) override;
    boost::asio::awaitable<void> stop() override;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Settings of the listener: its address and the operators' token.
std::vector<SettingSpec> operatorSettings();

} // namespace bulrushstack
