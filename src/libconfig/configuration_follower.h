#pragma once

#include "bulrushstack/config/configuration_store.h"
#include "bulrushstack/kernel/runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <random>
#include <set>

namespace bulrushstack {

struct FollowerOptions {
    std::chrono::nanoseconds pollInterval = std::chrono::milliseconds(500);
    std::chrono::nanoseconds freshnessBound = std::chrono::seconds(4);
    std::chrono::nanoseconds callTimeout = std::chrono::seconds(1); ///< of one call to the store or a peer
};

/// Follows the head revision by polls of the store and news from peers; never goes back to a lower revision.
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower> {
public:
    /// Sends a message to a peer and returns the reply.
    using PeerRequest = std::function<boost::asio::awaitable<Result<nlohmann::json>>(
        Address peer, nlohmann::json message, std::chrono::nanoseconds timeout)>;

    ConfigurationFollower(boost::asio::io_context& context, RuntimeService& runtime, TableService& tables,
        ObjectStore& objects, PeerRequest peerRequest, FollowerOptions options);

    ConfigurationPtr current() const { return m_current; }
    ConfigurationStore& store() { return m_store; }

    bool adoptIfNewer(ConfigurationPtr configuration);
    void handleAnnouncement(ConfigurationHead head, Address peer);

    /// Reads the head once and takes the revision that it names if it is higher.
    boost::asio::awaitable<void> poll();

    /// Answers the peer message "config-fetch".
    nlohmann::json handleFetchRequest(const nlohmann::json& request) const;

    /// Sets the readiness condition from the time of the last contact.
    void updateReadiness();

    /// Begins to poll and to watch the freshness bound.
    void start();

    /// Completes when nothing runs any more.
    boost::asio::awaitable<void> stop();

private:
    boost::asio::awaitable<void> pollPeriodically();
    boost::asio::awaitable<void> monitorFreshness();
    boost::asio::awaitable<void> fetchAnnounced();
    boost::asio::awaitable<void> fetchRevision(ConfigurationHead head);
    boost::asio::awaitable<ConfigurationPtr> fetchFromPeer(Address peer, ConfigurationHead head);
    boost::asio::awaitable<bool> adoptFromPeers(std::uint64_t revision);
    boost::asio::awaitable<bool> adoptFromStore(ConfigurationHead head);
    void checkStoreHead(const ConfigurationHead& head);
    void recordContact();
    void recordFailure(const char* source, const ConfigurationHead& head, const Failure& failure);
    bool shouldFetch(const ConfigurationHead& head) const;
    std::chrono::nanoseconds jitteredInterval();
    void spawn(boost::asio::awaitable<void> (ConfigurationFollower::*task)());

    boost::asio::io_context& m_context;
    RuntimeService& m_runtime;
    const Clock& m_clock;
    ConfigurationStore m_store;
    PeerRequest m_peerRequest;
    FollowerOptions m_options;
    ConfigurationPtr m_current = Configuration::empty();
    std::map<Address, ConfigurationHead> m_announced; ///< revisions above the current one that peers hold
    std::set<ConfigurationHead> m_rejected; ///< documents above the current revision that did not validate
    std::optional<SteadyTime> m_lastContact;
    std::optional<ConfigurationHead>
        m_reportedConflictingHead; ///< head of the store that contradicts the current revision
    bool m_hasRevision = false;
    bool m_isFetching = false;
    bool m_isStopped = false;
    int m_runningTasks = 0;
    std::mt19937 m_random { std::random_device()() };
    boost::asio::steady_timer m_pollTimer;
    boost::asio::steady_timer m_freshnessTimer;
    boost::asio::steady_timer m_taskFinished;
    prometheus::Gauge& m_revisionGauge;
    prometheus::Counter& m_polls;
    prometheus::Counter& m_failures;
    prometheus::Counter& m_rejections;
};

} // namespace bulrushstack
