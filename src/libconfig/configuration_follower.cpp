#include "configuration_follower.h"

#include "configuration_records.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

const std::string readinessCondition = "configuration";

/// Maximum size in bytes of a document that is sent to a peer. It leaves room for the envelope in a peer message of at
/// most 1 MiB; larger documents are read from the store only.
constexpr std::size_t maxPeerDocumentSize = 1000 * 1024;

prometheus::Gauge& addGauge(RuntimeService& runtime, const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(runtime.metrics()).Add({});
}

prometheus::Counter& addCounter(RuntimeService& runtime, const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(runtime.metrics()).Add({});
}

} // namespace

ConfigurationFollower::ConfigurationFollower(asio::io_context& context, RuntimeService& runtime, TableService& tables,
    ObjectStore& objects, PeerRequest peerRequest, FollowerOptions options)
    : m_context(context)
    , m_runtime(runtime)
    , m_clock(runtime.clock())
    , m_store(tables, objects, runtime.clock())
    , m_peerRequest(std::move(peerRequest))
    , m_options(options)
    , m_pollTimer(context)
    , m_freshnessTimer(context)
    , m_taskFinished(context, asio::steady_timer::time_point::max())
    , m_revisionGauge(
          addGauge(runtime, "bulrush_configuration_revision", "Configuration revision in force on this instance"))
    , m_polls(addCounter(runtime, "bulrush_configuration_polls_total", "Reads of the configuration head"))
    , m_failures(addCounter(runtime, "bulrush_configuration_failures_total", "Failed reads of heads and documents"))
    , m_rejections(
          addCounter(runtime, "bulrush_configuration_rejected_documents_total", "Documents that did not validate"))
{
    updateReadiness();
}

bool ConfigurationFollower::adoptIfNewer(ConfigurationPtr configuration)
{
    if (!configuration || configuration->revision() <= m_current->revision())
        return false;
    m_current = std::move(configuration);
    m_hasRevision = true;
    m_revisionGauge.Set(static_cast<double>(m_current->revision()));
    std::erase_if(m_announced, [&](const auto& it) { return it.second.revision <= m_current->revision(); });
    std::erase_if(m_rejected, [&](const auto& it) { return it.revision <= m_current->revision(); });
    LOG(INFO) << "event=configuration-taken revision=" << m_current->revision() << " digest=" << m_current->digest()
              << " teams=" << m_current->teams().size() << " models=" << m_current->models().size();
    updateReadiness();
    return true;
}

void ConfigurationFollower::handleAnnouncement(ConfigurationHead head, Address peer)
{
    recordContact();
    if (!shouldFetch(head)) {
        m_announced.erase(peer);
        return;
    }
    m_announced[peer] = std::move(head);
    if (!m_isFetching && !m_isStopped)
        spawn(&ConfigurationFollower::fetchAnnounced);
}

void ConfigurationFollower::recordPeersAsked()
{
    m_arePeersAsked = true;
    // Otherwise a fetch is in progress or is tried again at the next poll.
    if (m_announced.empty())
        confirmAsHighest();
}

asio::awaitable<void> ConfigurationFollower::poll()
{
    m_polls.Increment();
    auto head = co_await m_store.head(m_clock.now() + m_options.callTimeout);
    if (head) {
        recordContact();
        checkStoreHead(*head);
        if (shouldFetch(*head))
            co_await fetchRevision(*head);
        if (!shouldFetch(*head))
            confirmAsHighest();
    } else {
        recordFailure("head", {}, head.error());
    }
    // Retries announced revisions whose fetch failed.
    if (!m_announced.empty())
        co_await fetchAnnounced();
    updateReadiness();
}

/// Compares the head read from the store with the revision in force. A store without any accepted change confirms
/// revision 0. A lower head, or another digest for the same revision, is logged once per head and otherwise ignored.
void ConfigurationFollower::checkStoreHead(const ConfigurationHead& head)
{
    const auto revision = m_current->revision();
    if (revision == 0 && head.revision == 0)
        m_hasRevision = true;
    const bool isConflicting
        = head.revision < revision || (head.revision == revision && head.digest != m_current->digest());
    if (!isConflicting || m_reportedConflictingHead == head)
        return;
    m_reportedConflictingHead = head;
    LOG(ERROR) << "event=configuration-head-contradicts revision=" << revision << " digest=" << m_current->digest()
               << " head_revision=" << head.revision << " head_digest=" << head.digest << " action=keep";
}

asio::awaitable<void> ConfigurationFollower::fetchRevision(ConfigurationHead head)
{
    if (std::exchange(m_isFetching, true))
        co_return;
    // GCC 12 generates a trap instruction if this co_await is part of the condition.
    const bool isAdopted = co_await adoptFromStore(head);
    if (!isAdopted)
        co_await adoptFromPeers(head.revision);
    m_isFetching = false;
}

asio::awaitable<void> ConfigurationFollower::fetchAnnounced()
{
    if (std::exchange(m_isFetching, true))
        co_return;
    while (!m_announced.empty() && !m_isStopped) {
        ConfigurationHead highest;
        for (const auto& [peer, head] : m_announced)
            highest = std::max(highest, head);
        bool isAdopted = co_await adoptFromPeers(highest.revision);
        if (!isAdopted)
            isAdopted = co_await adoptFromStore(highest);
        if (!isAdopted)
            break;
    }
    m_isFetching = false;
    if (m_arePeersAsked)
        confirmAsHighest();
}

/// Records that no higher revision can be obtained now.
void ConfigurationFollower::confirmAsHighest()
{
    m_isConfirmed = true;
    updateReadiness();
}

/// Asks, one after the other, the peers that announced at least this revision; returns whether one of them sent a
/// revision that was put in force.
asio::awaitable<bool> ConfigurationFollower::adoptFromPeers(std::uint64_t revision)
{
    const auto announced = m_announced;
    for (const auto& [peer, head] : announced) {
        if (head.revision < revision || !shouldFetch(head))
            continue;
        auto fetched = co_await fetchFromPeer(peer, head);
        if (adoptIfNewer(std::move(fetched)))
            co_return true;
    }
    co_return false;
}

asio::awaitable<bool> ConfigurationFollower::adoptFromStore(ConfigurationHead head)
{
    if (!shouldFetch(head))
        co_return false;
    auto fetched = co_await m_store.fetch(head, m_clock.now() + m_options.callTimeout);
    if (fetched)
        co_return adoptIfNewer(std::move(*fetched));
    recordFailure("store", head, fetched.error());
    co_return false;
}

/// Returns null on failure, after recording it. The peer may reply with a higher revision than it announced.
asio::awaitable<ConfigurationPtr> ConfigurationFollower::fetchFromPeer(Address peer, ConfigurationHead head)
{
    nlohmann::json message { { "type", "config-fetch" }, { "revision", head.revision } };
    auto reply = co_await m_peerRequest(peer, std::move(message), m_options.callTimeout);
    if (!reply) {
        recordFailure("peer", head, reply.error());
        co_return nullptr;
    }
    recordContact();
    Failure failure {
        .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = "reply of peer " + peer.toString()
    };
    const auto peerHead = headFromJson(*reply);
    const auto text = reply->is_object() ? reply->value("document", nlohmann::json()) : nlohmann::json();
    if (!peerHead || !text.is_string() || peerHead->revision < head.revision
        || (peerHead->revision == head.revision && *peerHead != head)) {
        failure.detail += " does not contain the announced revision";
        recordFailure("peer", head, failure);
        co_return nullptr;
    }
    auto parsed = verifyAndParse(*peerHead, text.get_ref<const std::string&>());
    if (parsed)
        co_return std::move(*parsed);
    recordFailure("peer", *peerHead, parsed.error());
    co_return nullptr;
}

nlohmann::json ConfigurationFollower::handleFetchRequest(const nlohmann::json& request) const
{
    nlohmann::json reply { { "revision", m_current->revision() }, { "digest", m_current->digest() } };
    const bool isAvailable = request.at("revision").get<std::uint64_t>() <= m_current->revision();
    if (isAvailable && m_current->text().size() <= maxPeerDocumentSize)
        reply["document"] = m_current->text();
    return reply;
}

bool ConfigurationFollower::shouldFetch(const ConfigurationHead& head) const
{
    return head.revision > m_current->revision() && !m_rejected.contains(head);
}

void ConfigurationFollower::recordContact()
{
    m_lastContact = m_clock.now();
    updateReadiness();
}

void ConfigurationFollower::recordFailure(const char* source, const ConfigurationHead& head, const Failure& failure)
{
    m_failures.Increment();
    if (failure.code != Errc::InvalidArgument) {
        VLOG(1) << "event=configuration-read-failed source=" << source << " detail=\"" << failure.detail << "\"";
        return;
    }
    if (!m_rejected.insert(head).second)
        return;
    std::erase_if(m_announced, [&](const auto& it) { return it.second == head; });
    m_rejections.Increment();
    LOG(ERROR) << "event=configuration-rejected source=" << source << " revision=" << head.revision
               << " digest=" << head.digest << " detail=\"" << failure.detail << "\"";
}

void ConfigurationFollower::updateReadiness()
{
    const bool isFresh = m_lastContact && m_clock.now() - *m_lastContact < m_options.freshnessBound;
    if (!m_hasRevision)
        m_runtime.setReady(readinessCondition, false, "no revision has been read from the store or a peer yet");
    else if (!m_isConfirmed)
        m_runtime.setReady(
            readinessCondition, false, "neither the store nor all peers have confirmed the revision yet");
    else if (!isFresh)
        m_runtime.setReady(readinessCondition, false, "no contact with the store or a peer within the freshness bound");
    else
        m_runtime.setReady(readinessCondition, true);
}

void ConfigurationFollower::spawn(asio::awaitable<void> (ConfigurationFollower::*task)())
{
    ++m_runningTasks;
    asio::co_spawn(m_context, (this->*task)(), [self = shared_from_this()](std::exception_ptr error) {
        --self->m_runningTasks;
        self->m_taskFinished.cancel();
        if (error)
            std::rethrow_exception(error);
    });
}

std::chrono::nanoseconds ConfigurationFollower::jitteredInterval()
{
    // Jitter spreads out the polls of instances that were started at the same time.
    std::uniform_real_distribution<double> factor(0.8, 1.2);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(m_options.pollInterval * factor(m_random));
}

asio::awaitable<void> ConfigurationFollower::pollPeriodically()
{
    while (!m_isStopped) {
        co_await poll();
        if (m_isStopped)
            co_return;
        m_pollTimer.expires_after(jitteredInterval());
        co_await m_pollTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

/// Updates the readiness as soon as the last contact exceeds the freshness bound. The poll loop cannot do this in time
/// while it waits for a store that does not respond.
asio::awaitable<void> ConfigurationFollower::monitorFreshness()
{
    while (!m_isStopped) {
        const auto age = m_lastContact ? m_clock.now() - *m_lastContact : std::chrono::nanoseconds(0);
        m_freshnessTimer.expires_after(
            age < m_options.freshnessBound ? m_options.freshnessBound - age : m_options.pollInterval);
        co_await m_freshnessTimer.async_wait(asio::as_tuple(asio::use_awaitable));
        updateReadiness();
    }
}

void ConfigurationFollower::start()
{
    spawn(&ConfigurationFollower::pollPeriodically);
    spawn(&ConfigurationFollower::monitorFreshness);
}

asio::awaitable<void> ConfigurationFollower::stop()
{
    m_isStopped = true;
    m_pollTimer.cancel();
    m_freshnessTimer.cancel();
    while (m_runningTasks > 0)
        co_await m_taskFinished.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace bulrushstack
