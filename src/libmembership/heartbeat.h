#pragma once

#include "bulrushstack/membership/directory.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bulrushstack {

/// Content of the message by which an instance reports its state to a peer; the reply has the same content.
struct Heartbeat {
    std::string from;
    std::uint64_t incarnation = 0;
    std::string zone;
    InstanceState state = InstanceState::Live;
    std::uint64_t revision = 0; ///< revision of the configuration in force
    std::string digest; ///< digest of that revision
    std::vector<std::pair<std::string, std::uint64_t>> leaving; ///< ids and incarnations of all instances
                                                                ///< that the sender knows to be leaving

    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Returns the message of type "heartbeat". It omits the sender and its incarnation, which are part of the envelope.
nlohmann::json toJson(const Heartbeat& heartbeat);

/// Parses a message to which the peer mesh has added the sender and its incarnation. Returns an empty optional if a
/// field is missing or invalid.
std::optional<Heartbeat> parseHeartbeat(const nlohmann::json& message);

/// Returns the highest incarnation of this instance that the sender knows to be leaving; empty if there is none.
std::optional<std::uint64_t> ownLeavingIncarnation(const Heartbeat& heartbeat, const std::string& ownId);

/// Returns the peers to send heartbeats to: all peers of a small deployment, otherwise a fixed number chosen by
/// rendezvous hashing, so that the traffic of an instance does not grow with the size of the deployment.
std::vector<PeerView> selectHeartbeatPeers(const std::vector<PeerView>& peers, const std::string& ownId);

} // namespace bulrushstack
