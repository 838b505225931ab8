#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/config/configuration_store.h"
#include "bulrushstack/kernel/runtime.h"

#include <memory>

namespace bulrushstack {

class PeerMesh;

/// Service "configuration": keeps this instance on the latest revision of the configuration.
///
/// Polls the head in the table service, fetches newer revisions from the store or from peers, and sets the readiness
/// condition "configuration". All methods must be called on the thread of the registry's io_context.
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

    /// Puts a revision in force if it is higher than the current one; returns whether it did.
    bool adoptIfNewer(ConfigurationPtr configuration);

    /// Handles a peer's announcement of its revision. If the revision is higher than the current one, it is fetched
    /// from the peer or the store. Must be called for every heartbeat and reply of a peer, even if the revision is not
    /// higher, because each call counts as contact for the freshness bound.
    void handleAnnouncement(ConfigurationHead head, Address peer);

    /// Records that each known peer has announced its revision or did not reply. Until then, or until the store has
    /// replied, this instance is not ready: the peers that it has heard of may lack the last accepted change.
    void recordPeersAsked();

    ConfigurationStore& store();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Returns the settings for the poll interval and the freshness bound.
std::vector<SettingSpec> configurationSettings();

} // namespace bulrushstack
