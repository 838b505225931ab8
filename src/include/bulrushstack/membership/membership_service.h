#pragma once

#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/membership/directory.h"

#include <memory>

namespace bulrushstack {

/// Service "membership": keeps the instance directory up to date by polling the instance list and the engines' load
/// reports and by exchanging heartbeats with other instances. Sets the readiness condition "membership". All methods
/// must be called on the thread of the registry's io_context.
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

    /// Sends heartbeats at once that report this instance as leaving; all later heartbeats report it as well.
    void announceLeaving();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Returns the settings for the poll and heartbeat intervals.
std::vector<SettingSpec> membershipSettings();

} // namespace bulrushstack
