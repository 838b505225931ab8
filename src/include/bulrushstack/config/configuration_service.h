#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/config/configuration_store.h"
#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

class PeerMesh;

/// Service "configuration": holds the highest revision heard of and follows the head.
///
/// Polls the head in the table service, takes revisions from peers, and sets the readiness condition "configuration".
class ConfigurationService final : public Service {
public:
    ConfigurationService();
    ~ConfigurationService() override;

    std::string_view name() const override { return "configuration"; }
    std::vector<std::string> dependencies() const override { return { "runtime", "platform", "peers" }; }
    void start(ServiceRegistry& registry) override;
    boost::asio::awaitable<void> stop() override;

    /// Returns the revision in force on this instance; never null.
    ConfigurationPtr current() const;

    /// Takes a revision if it is higher than the current one; returns whether it was taken.
    bool adoptIfNewer(ConfigurationPtr configuration);

    /// Notes that a live peer has the revision; a higher one than the current is fetched from the peer or the store.
    /// Call it for every heartbeat and reply of a peer, also if its revision is not higher: it counts as contact for
    /// the freshness bound.
    void handleAnnouncement(ConfigurationHead head, Address peer);

    ConfigurationStore& store();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Settings of the follower: poll interval and freshness bound.
std::vector<SettingSpec> configurationSettings();

} // namespace bulrushstack
