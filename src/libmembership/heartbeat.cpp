#include "heartbeat.h"

#include <algorithm>
#include <xxhash.h>

namespace bulrushstack {

nlohmann::json toJson(const Heartbeat& heartbeat)
{
    return {
        { "type", "heartbeat" },
        { "zone", heartbeat.zone },
        { "state", toString(heartbeat.state) },
        { "revision", heartbeat.revision },
        { "digest", heartbeat.digest },
        { "leaving", heartbeat.leaving },
    };
}

std::optional<Heartbeat> parseHeartbeat(const nlohmann::json& message)
{
    try {
        const auto state = parseInstanceState(message.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        return Heartbeat {
            .from = message.at("from").get<std::string>(),
            .incarnation = message.at("incarnation").get<std::uint64_t>(),
            .zone = message.at("zone").get<std::string>(),
            .state = *state,
            .revision = message.at("revision").get<std::uint64_t>(),
            .digest = message.at("digest").get<std::string>(),
            .leaving = message.value("leaving", decltype(Heartbeat::leaving)()),
        };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::optional<std::uint64_t> ownLeavingIncarnation(const Heartbeat& heartbeat, const std::string& ownId)
{
    std::optional<std::uint64_t> out;
    for (const auto& [id, incarnation] : heartbeat.leaving) {
        if (id == ownId)
            out = std::max(out.value_or(incarnation), incarnation);
    }
    return out;
}

std::vector<PeerView> selectHeartbeatPeers(const std::vector<PeerView>& peers, const std::string& ownId)
{
    // With 8 random peers per instance, an update reaches 390 instances in about 3 heartbeat intervals.
    static constexpr std::size_t peerLimit = 8;
    std::vector<PeerView> out;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(out),
        [&](const PeerView& peer) { return peer.record.id != ownId && peer.record.peerPort != 0; });
    if (out.size() <= peerLimit)
        return out;
    auto rank = [&](const PeerView& peer) {
        const std::string pair = ownId + "/" + peer.record.id;
        return XXH3_64bits(pair.data(), pair.size());
    };
    std::nth_element(out.begin(), out.begin() + peerLimit, out.end(),
        [&](const PeerView& a, const PeerView& b) { return rank(a) > rank(b); });
    out.resize(peerLimit);
    return out;
}

} // namespace bulrushstack
