#pragma once

#include "bulrushstack/relay/store_relay.h"
#include "front_metrics.h"
#include "front_state.h"
#include "request_dependencies.h"
#include "table_follower.h"

#include <functional>
#include <set>
#include <string>

namespace bulrushstack {

/// Keeps the configuration and the directory of upstreams of a FrontState up to date with the platform's store,
/// directly or through a reader, and passes them on while this instance is a reader.
class StoreSynchronizer final : public UpstreamReader {
public:
    StoreSynchronizer(FrontState& state, FrontBinding& binding, FrontMetrics& metrics, StoreRelay& relay);

    void start();
    void stop();

    boost::asio::awaitable<Result<std::optional<UpstreamEntry>>> readUpstream(
        std::string id, SteadyTime deadline) override;
    boost::asio::awaitable<Result<std::set<std::string>>> readVersions(
        std::string service, SteadyTime deadline) override;

    /// Called once, after the first snapshot of the upstreams was read.
    std::function<void()> onUpstreamsLoaded;
    /// Called for each version of the configuration that comes into force.
    std::function<void(const ServingConfiguration&)> onConfigurationApplied;

private:
    class ConfigurationObserver;
    class UpstreamObserver;

    boost::asio::awaitable<Result<std::vector<Row>>> readNewRows(std::string table, TableReadTimeouts timeouts);
    void dropStuckRequests();
    boost::asio::awaitable<void> runMaintenance();
    void adaptPolling();

    FrontState& m_state;
    FrontBinding& m_binding;
    FrontMetrics& m_metrics;
    StoreRelay& m_relay;
    std::unique_ptr<TableObserver> m_configurationObserver;
    std::unique_ptr<TableObserver> m_upstreamObserver;
    TableFollower m_configurationFollower;
    TableFollower m_upstreamFollower;
    bool m_isStopped = false;
};

} // namespace bulrushstack
