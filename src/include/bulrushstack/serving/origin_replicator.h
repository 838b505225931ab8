#pragma once

#include "bulrushstack/kernel/settings.h"
#include "bulrushstack/serving/stream_origins.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// An instance and the address at which other instances reach it.
struct Peer {
    std::string instance;
    Address address;

    friend bool operator==(const Peer&, const Peer&) = default;
};

/// Returns up to `n` of the peers, by rendezvous hashing of a request's id. All instances that know the same peers
/// return the same ones, and another peer takes the place of one that is lost.
std::vector<Peer> rankPeers(std::string_view request, const std::vector<Peer>& peers, std::size_t n);

/// Origins of streams that one peer is to remember.
struct OriginBatch {
    Peer peer;
    std::vector<StreamOrigin> origins;

    friend bool operator==(const OriginBatch&, const OriginBatch&) = default;
};

/// Decides which other instances remember where the streams of this instance began, so that a caller can take a stream
/// up at any instance after this one is lost. Two instances remember each stream. They follow from the request's id, so
/// that whoever takes the stream up knows whom to ask, and the load is spread over all instances. Performs no I/O.
class OriginReplicator {
public:
    OriginReplicator(const Clock& clock, std::string ownInstance);

    /// Replaces the instances; the own one may be among them. Streams whose replicas change are due again.
    void setPeers(const std::vector<Peer>& peers);

    /// Adds a stream that began at this instance.
    void add(StreamOrigin origin);

    /// Returns what is to be sent now: the streams of the given services whose replicas lack them. They count as sent
    /// unless recordFailure() is called.
    std::vector<OriginBatch> takeDue(const std::set<std::string>& services);

    /// Records that a batch did not arrive. Another peer takes the place of the one that failed for a while.
    void recordFailure(const OriginBatch& batch);

    /// Returns the other instances that may remember the stream of a request, in the order in which to ask them.
    std::vector<Peer> peersToAsk(std::string_view request) const;

private:
    struct OwnStream {
        StreamOrigin origin;
        SteadyTime recordedAt {};
        std::set<std::string> rememberedBy; ///< ids of instances
        bool needsReplicas = true;
    };

    void dropOldest();
    std::vector<Peer> usablePeers();
    void addToBatches(OwnStream& stream, const std::vector<Peer>& peers, std::map<std::string, OriginBatch>& batches);

    const Clock& m_clock;
    std::string m_ownInstance;
    std::vector<Peer> m_peers; ///< without the own instance
    std::deque<OwnStream> m_streams; ///< the oldest first
    std::map<std::string, SteadyTime> m_avoidedUntil; ///< peers that failed recently
};

} // namespace bulrushstack
