#include "placement_agent.h"

#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/serving/demand_report_schedule.h"
#include <algorithm>
#include <glog/logging.h>
#include <xxhash.h>

// Reports of demand: an instance sends its demand to the lease holder, directly or through a reader; the holder answers
// with what all instances need to know.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Interval of the checks whether a demand report is due.
constexpr std::chrono::milliseconds demandReportCheckInterval { 60 };
/// An instance that sent no demand report for this time no longer counts toward the number of instances.
constexpr std::chrono::seconds instanceExpiry { 6 };
/// Time after which a new holder has heard of all instances. Until then it names no readers, and at least as many
/// instances as the previous holder did, since the retry budget is divided by their number.
constexpr std::chrono::milliseconds firstReportsPeriod { 1500 };
/// Maximum time between two reports of an instance that does not know the readers yet.
constexpr std::chrono::milliseconds maxIntervalWithoutReaders { 1500 };

std::uint64_t fingerprintOf(const std::vector<Peer>& peers)
{
    std::string text;
    for (const auto& it : peers)
        text += it.instance + "=" + it.address.toString() + ";";
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

asio::awaitable<void> PlacementAgent::reportDemand()
{
    auto lastReport = m_state.clock().now();
    while (!m_leaseManager.isReleased()) {
        co_await sleepFor(m_state.context(), demandReportCheckInterval);
        const DemandReportSchedule schedule(m_leaseManager.reporterCount());
        const bool isUrgent = m_state.hasUrgentDemand() || m_collector.isUrgent();
        auto interval = schedule.reportInterval(isUrgent);
        if (!m_holderReply.readers)
            interval = std::min(interval, maxIntervalWithoutReaders);
        if (m_state.clock().now() - lastReport < interval)
            continue;
        lastReport = m_state.clock().now();
        co_await sendDemand();
    }
}

DemandMessage PlacementAgent::collectDemand()
{
    auto out = m_state.collectAndResetDemand();
    out.reporters.push_back(m_relay.self());
    m_collector.takeInto(out);
    out.peerFingerprint = fingerprintOf(m_origins.peers());
    const auto& suspects = m_state.crashSuspects();
    out.crashFingerprint = suspects.fingerprint();
    if (out.crashFingerprint != m_peerCrashFingerprint)
        out.crashes = suspects.crashes();
    if (auto use = m_quotas.creditUse())
        out.creditUses.push_back(std::move(*use));
    return out;
}

asio::awaitable<void> PlacementAgent::sendDemand()
{
    if (m_leaseManager.isHolder()) {
        m_leaseManager.recordHolderContact();
        const auto use = m_quotas.creditUse();
        const auto reply = processDemand(collectDemand());
        m_quotas.applyCredits(use, reply.credits, m_state.clock().bootNow());
        applyReply(reply);
        co_return;
    }
    m_holderSince.reset();
    if (auto reader = m_relay.selector().choose()) {
        const Address address = reader->address;
        co_await sendDemandTo(address, std::move(reader));
        co_return;
    }
    if (const auto holder = m_leaseManager.otherHolder())
        co_await sendDemandTo(holder->address, std::nullopt);
}

/// Sends the collected demand to the holder, or to a reader that passes it on.
asio::awaitable<void> PlacementAgent::sendDemandTo(Address address, std::optional<StoreReader> reader)
{
    const auto use = m_quotas.creditUse();
    const auto sentAt = m_state.clock().bootNow();
    HttpRequest request { .method = "POST", .target = std::string(demandPath), .body = encode(collectDemand()) };
    HttpCallOptions options;
    options.deadline = m_state.clock().now() + DemandReportSchedule::reportTimeout();
    auto response = co_await m_client.call(address, std::move(request), options);
    const auto holder = m_leaseManager.otherHolder();
    const std::string holderName = holder ? holder->holder : std::string("none");
    if (!response) {
        // The idle connections are closed, since they may have stopped responding while a new connection may work.
        m_client.closeIdleConnections(address);
        if (reader)
            m_relay.selector().recordFailure(reader->instance);
        if (m_isHolderReachable && !m_leaseManager.hasRecentHolderContact())
            recordHolderLost(holderName, response.error().detail);
        co_return;
    }
    auto reply = decodeDemandReply(response->body);
    if (response->status == 200 && reply) {
        if (reply->isHolder)
            m_quotas.applyCredits(use, reply->credits, sentAt);
        else if (!reader)
            m_quotas.recordHolderEnded();
        handleReply(*reply, reader);
        co_return;
    }
    if (reader)
        m_relay.selector().recordFailure(reader->instance);
    else
        m_leaseManager.invalidateHolder();
    if (m_isHolderReachable)
        recordHolderLost(holderName, "the response has status " + std::to_string(response->status));
}

void PlacementAgent::handleReply(const DemandReply& reply, const std::optional<StoreReader>& reader)
{
    const auto known = m_leaseManager.otherHolder();
    if (reader && reply.isReader)
        m_leaseManager.recordReaderContact();
    if (!reply.isHolder) {
        if (!reader)
            m_leaseManager.invalidateHolder();
        if (m_isHolderReachable && !m_leaseManager.hasRecentHolderContact())
            recordHolderLost(known ? known->holder : "none", "the instance does not hold the lease");
        return;
    }
    LeaseRecord renewed { .holder = reply.holder, .address = reply.holderAddress, .version = reply.leaseVersion };
    if (renewed.holder.empty() && known) {
        renewed.holder = known->holder;
        renewed.address = known->address;
    }
    if (!m_isHolderReachable)
        LOG(INFO) << "event=dependency-regained dependency=placement-holder holder=" << renewed.holder
                  << " version=" << renewed.version << " reader=" << (reader ? reader->instance : "none");
    m_isHolderReachable = true;
    const unsigned reporters = reply.reporters > 0 ? reply.reporters : reply.instances;
    m_leaseManager.recordRenewalByHolder(std::move(renewed), reply.age, reader.has_value(), reporters);
    m_peerCrashFingerprint = reply.crashFingerprint;
    m_state.mergeCrashes(reply.crashes);
    applyReply(reply);
    m_holderReply = reply;
}

void PlacementAgent::recordHolderLost(const std::string& holder, const std::string& reason)
{
    m_isHolderReachable = false;
    LOG(WARNING) << "event=dependency-lost dependency=placement-holder holder=" << holder << " error=\"" << reason
                 << "\"";
}

void PlacementAgent::applyReply(const DemandReply& reply)
{
    m_state.setInstanceCount(reply.instances);
    m_state.setRetiringReplicas(reply.retiring);
    if (reply.readers)
        m_relay.setReaders(*reply.readers);
    applyPeers(reply);
}

/// Applies the instances that remember streams. Until the holder has named them, an instance knows only the holder; the
/// holder knows those that report to it.
void PlacementAgent::applyPeers(const DemandReply& reply)
{
    if (reply.holder == m_relay.self().instance)
        m_origins.setPeers(allPeers());
    else if (reply.peers)
        m_origins.setPeers(*reply.peers);
    else if (!m_hasPeerList && !reply.holder.empty())
        m_origins.setPeers({ { .instance = reply.holder, .address = reply.holderAddress } });
    m_hasPeerList = m_hasPeerList || reply.peers.has_value();
}

/// Collects the demand of an instance that reports to this reader, and passes on what the holder last replied.
DemandReply PlacementAgent::relayDemand(const DemandMessage& message)
{
    m_collector.add(message);
    const auto now = m_state.clock().now();
    m_directReports[message.instance] = now;
    std::erase_if(m_directReports, [&](const auto& it) { return now - it.second > instanceExpiry; });
    DemandReply out;
    if (m_leaseManager.hasRecentHolderContact()) {
        out = m_holderReply;
        out.age = millisecondsOf(m_leaseManager.holderContactAge());
    }
    out.reporters = static_cast<unsigned>(m_directReports.size());
    out.isReader = m_relay.isUsableReader();
    exchangeCrashes(message, out);
    out.peers.reset();
    out.credits.clear();
    offerPeers(message, out, m_origins.peers());
    return out;
}

/// Adds the peers to the reply if the sender of the message lacks some.
void PlacementAgent::offerPeers(const DemandMessage& message, DemandReply& reply, const std::vector<Peer>& peers)
{
    if (!peers.empty() && message.peerFingerprint != fingerprintOf(peers))
        reply.peers = peers;
}

/// Returns all instances as the holder knows them. A new holder adds those that its predecessor named.
std::vector<Peer> PlacementAgent::allPeers()
{
    std::map<std::string, Peer> out;
    if (!knowsAllInstances()) {
        for (const auto& it : m_origins.peers())
            out[it.instance] = it;
    }
    for (const auto& [instance, reporter] : m_reporters) {
        if (reporter.member.address != Address())
            out[instance] = { .instance = instance, .address = reporter.member.address };
    }
    std::vector<Peer> peers;
    peers.reserve(out.size());
    for (auto& [instance, peer] : out)
        peers.push_back(std::move(peer));
    return peers;
}

/// Merges the crashes that the sender of the message knows, and adds those that it lacks to the reply.
void PlacementAgent::exchangeCrashes(const DemandMessage& message, DemandReply& reply)
{
    m_state.mergeCrashes(message.crashes);
    const auto& suspects = m_state.crashSuspects();
    reply.crashFingerprint = suspects.fingerprint();
    reply.crashes.clear();
    if (message.crashFingerprint != reply.crashFingerprint)
        reply.crashes = suspects.crashes();
}

/// Returns whether this instance has been the holder for long enough to have heard of all instances.
bool PlacementAgent::knowsAllInstances()
{
    const auto now = m_state.clock().now();
    if (!m_holderSince)
        m_holderSince = now;
    return now - *m_holderSince >= firstReportsPeriod;
}

unsigned PlacementAgent::countInstances()
{
    const auto known = static_cast<unsigned>(m_reporters.size());
    return knowsAllInstances() ? known : std::max(known, m_state.instanceCount());
}

std::vector<StoreReader> PlacementAgent::chooseReaders(const std::string& zone) const
{
    std::vector<RelayMember> members;
    members.reserve(m_reporters.size());
    for (const auto& [instance, reporter] : m_reporters)
        members.push_back(reporter.member);
    auto options = m_relay.readerChoice();
    options.changePeriod = m_state.platformLimits().configurationPeriod;
    return chooseStoreReaders(members, zone, options);
}

DemandReply PlacementAgent::processDemand(const DemandMessage& message)
{
    const auto now = m_state.clock().now();
    m_demandEstimator.add(message.models);
    for (const auto& it : message.adapters) {
        if (auto* placement = findPlacement(it.service))
            placement->lastRequested[{ it.model, it.adapter }] = now;
    }
    for (const auto& it : message.unreachable) {
        if (m_state.directory().find(it) && m_monitoredUpstreams.insert(it).second)
            spawnLogged(m_state.context(), monitorReachability(it), "reachability");
    }
    // An instance of the previous version names itself only.
    m_reporters[message.instance].member.instance = message.instance;
    m_reporters[message.instance].lastReport = now;
    for (const auto& it : message.reporters)
        m_reporters[it.instance] = { .member = it, .lastReport = now };
    std::erase_if(m_reporters, [&](const auto& it) { return now - it.second.lastReport > instanceExpiry; });
    m_directReports[message.instance] = now;
    std::erase_if(m_directReports, [&](const auto& it) { return now - it.second > instanceExpiry; });
    DemandReply out { .isHolder = true,
        .leaseVersion = m_leaseManager.lease().expectedVersion(),
        .instances = countInstances(),
        .holder = m_relay.self().instance,
        .holderAddress = m_relay.self().address,
        .reporters = static_cast<unsigned>(m_directReports.size()),
        .isReader = m_relay.isUsableReader() };
    m_quotas.refreshAsHolder();
    for (const auto& it : message.creditUses) {
        auto credits = m_quotas.settleAsHolder(it);
        if (it.instance == message.instance)
            out.credits = std::move(credits);
    }
    for (const auto& [service, placement] : m_placements) {
        for (const auto& [id, upstream] : placement.tracker.upstreams()) {
            for (const auto& model : upstream.unloading)
                out.retiring.push_back({ .upstream = id, .model = model });
        }
    }
    exchangeCrashes(message, out);
    // A list that is not complete yet would be sent again soon.
    if (knowsAllInstances() || !m_state.directory().servicesWithSeveralVersions().empty())
        offerPeers(message, out, allPeers());
    if (knowsAllInstances())
        out.readers = chooseReaders(m_reporters[message.instance].member.zone);
    return out;
}

} // namespace bulrushstack
