#pragma once

#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/membership/directory.h"

#include <memory>

namespace bulrushstack {

/// Service "membership": keeps the directory by polling the instance list and the engines' load reports and by
/// heartbeats with other instances. Sets the readiness condition "membership".
class MembershipService final : public Service {
public:
    MembershipService();
    ~MembershipService() override;

    std::string_view name() const override { return "membership"; }
    std::vector<std::string> dependencies() const override
    {
        return { "runtime", "platform", "upstream-protocols", "peers", "configuration" };
    }
    void start(ServiceRegistry& registry) override;
    boost::asio::awaitable<void> stop() override;

    InstanceDirectory& directory();

    /// Tells peers from now on that this instance is leaving.
    void announceLeaving();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Settings of the poll and heartbeat intervals.
std::vector<SettingSpec> membershipSettings();

} // namespace bulrushstack
