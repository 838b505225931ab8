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
    std::chrono::nanoseconds callTimeout = std::chrono::seconds(1); ///< timeout of one request to the store or a peer
};

/// Keeps the latest revision of the configuration by polling the store and handling announcements from peers. Never
/// reverts to a lower revision. All methods must be called on the thread of the io_context.
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower> {
public:
    /// Sends a message to a peer and returns the reply.
    using PeerRequest = std::function<boost::asio::awaitable<Result<nlohmann::json>>(
        Address peer, nlohmann::json message, std::chrono::nanoseconds timeout)>;

    ConfigurationFollower(boost::asio::io_context& context, RuntimeService& runtime, TableService& tables,
        ObjectStore& objects, PeerRequest peerRequest, FollowerOptions options);

    ConfigurationPtr current() const { return m_current; }
    ConfigurationStore& store() { return m_store; }

    /// See ConfigurationService::adoptIfNewer().
    bool adoptIfNewer(ConfigurationPtr configuration);

    /// See ConfigurationService::handleAnnouncement().
    void handleAnnouncement(ConfigurationHead head, Address peer);

    /// See ConfigurationService::recordPeersAsked().
    void recordPeersAsked();

    /// Reads the head once and fetches the revision that it names if it is higher than the current one.
    boost::asio::awaitable<void> poll();

    /// Returns the reply to the peer message "config-fetch". The reply contains the document unless this instance has
    /// only a lower revision or the document is too large for a peer message.
    nlohmann::json handleFetchRequest(const nlohmann::json& request) const;

    /// Sets the readiness condition: true if a revision is known, no higher one can be obtained at the start, and the
    /// last contact is within the freshness bound.
    void updateReadiness();

    /// Starts the tasks that poll the store and monitor the freshness bound.
    void start();

    /// Stops all tasks; completes when the last one has ended.
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
    void confirmAsHighest();
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
    std::map<Address, ConfigurationHead> m_announced; ///< higher revisions announced by peers, not fetched yet
    std::set<ConfigurationHead> m_rejected; ///< higher revisions whose documents are invalid
    std::optional<SteadyTime> m_lastContact;
    std::optional<ConfigurationHead> m_reportedConflictingHead; ///< last conflicting head of the store that was logged
    bool m_hasRevision = false;
    bool m_arePeersAsked = false;
    /// Whether the current revision was the highest one of the store or of all peers at some time. A peer alone may not
    /// have received the last change yet.
    bool m_isConfirmed = false;
    bool m_isFetching = false;
    bool m_isStopped = false;
    int m_runningTasks = 0;
    std::mt19937 m_random { std::random_device()() };
    boost::asio::steady_timer m_pollTimer;
    boost::asio::steady_timer m_freshnessTimer;
    boost::asio::steady_timer m_taskFinished; ///< never expires; cancelled to wake stop() when a task ends
    prometheus::Gauge& m_revisionGauge;
    prometheus::Counter& m_polls;
    prometheus::Counter& m_failures;
    prometheus::Counter& m_rejections;
};

} // namespace bulrushstack
