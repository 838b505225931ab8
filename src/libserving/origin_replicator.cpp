#include "bulrushstack/serving/origin_replicator.h"

#include <algorithm>
#include <xxhash.h>

namespace bulrushstack {

namespace {

/// Instances that remember a stream beside the one at which it began.
constexpr std::size_t replicaCount = 2;
/// Instances that are asked for a stream: the replicas, and the one at which it began, which may rank before them.
constexpr std::size_t askedCount = replicaCount + 1;
/// Time for which another peer takes the place of one that failed.
constexpr std::chrono::milliseconds failureAvoidance { 500 };
/// Bounds the size of a message.
constexpr std::size_t maxBatchSize = 500;

std::uint64_t weightOf(std::string_view request, const Peer& peer)
{
    const auto seed = XXH3_64bits(request.data(), request.size());
    return XXH3_64bits_withSeed(peer.instance.data(), peer.instance.size(), seed);
}

} // namespace

std::vector<Peer> rankPeers(std::string_view request, const std::vector<Peer>& peers, std::size_t n)
{
    std::vector<std::pair<std::uint64_t, const Peer*>> weighted;
    weighted.reserve(peers.size());
    for (const auto& it : peers)
        weighted.emplace_back(weightOf(request, it), &it);
    n = std::min(n, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(n), weighted.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Peer> out;
    out.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(*weighted[i].second);
    return out;
}

OriginReplicator::OriginReplicator(const Clock& clock, std::string ownInstance)
    : m_clock(clock)
    , m_ownInstance(std::move(ownInstance))
{
}

void OriginReplicator::setPeers(const std::vector<Peer>& peers)
{
    m_peers = peers;
    std::erase_if(m_peers, [this](const Peer& it) { return it.instance == m_ownInstance; });
    for (auto& it : m_streams)
        it.needsReplicas = true;
}

void OriginReplicator::add(StreamOrigin origin)
{
    dropOldest();
    m_streams.push_back({ .origin = std::move(origin), .recordedAt = m_clock.now() });
}

void OriginReplicator::dropOldest()
{
    while (!m_streams.empty() && m_clock.now() - m_streams.front().recordedAt > StreamOrigins::memory)
        m_streams.pop_front();
}

std::vector<OriginBatch> OriginReplicator::takeDue(const std::set<std::string>& services)
{
    dropOldest();
    const auto peers = usablePeers();
    std::map<std::string, OriginBatch> batches;
    for (auto& it : m_streams) {
        if (!peers.empty() && it.needsReplicas && services.count(it.origin.service))
            addToBatches(it, peers, batches);
    }
    std::vector<OriginBatch> out;
    out.reserve(batches.size());
    for (auto& [instance, batch] : batches)
        out.push_back(std::move(batch));
    return out;
}

std::vector<Peer> OriginReplicator::usablePeers()
{
    std::erase_if(m_avoidedUntil, [this](const auto& it) { return it.second <= m_clock.now(); });
    auto out = m_peers;
    std::erase_if(out, [this](const Peer& it) { return m_avoidedUntil.count(it.instance) > 0; });
    return out;
}

void OriginReplicator::addToBatches(
    OwnStream& stream, const std::vector<Peer>& peers, std::map<std::string, OriginBatch>& batches)
{
    stream.needsReplicas = false;
    auto origin = stream.origin;
    origin.age += millisecondsOf(m_clock.now() - stream.recordedAt);
    for (const auto& peer : rankPeers(stream.origin.request, peers, replicaCount)) {
        if (stream.rememberedBy.count(peer.instance))
            continue;
        auto& batch = batches.try_emplace(peer.instance, OriginBatch { .peer = peer }).first->second;
        if (batch.origins.size() == maxBatchSize) {
            stream.needsReplicas = true;
            continue;
        }
        batch.origins.push_back(origin);
        stream.rememberedBy.insert(peer.instance);
    }
}

void OriginReplicator::recordFailure(const OriginBatch& batch)
{
    m_avoidedUntil[batch.peer.instance] = m_clock.now() + failureAvoidance;
    std::set<std::string_view> failed;
    for (const auto& it : batch.origins)
        failed.insert(it.request);
    for (auto& it : m_streams) {
        if (!failed.count(it.origin.request))
            continue;
        it.rememberedBy.erase(batch.peer.instance);
        it.needsReplicas = true;
    }
}

std::vector<Peer> OriginReplicator::peersToAsk(std::string_view request) const
{
    return rankPeers(request, m_peers, askedCount);
}

} // namespace bulrushstack
