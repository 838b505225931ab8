#pragma once

#include "bulrushstack/membership/directory.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bulrushstack {

/// What an instance tells its peers about itself.
struct Heartbeat {
    std::string from;
    std::uint64_t incarnation = 0;
    std::string zone;
    InstanceState state = InstanceState::Live;
    std::uint64_t revision = 0; ///< of the configuration in force
    std::string digest;
    std::vector<std::pair<std::string, std::uint64_t>> leaving; ///< ids and incarnations of leaving members

    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Returns the message of type "heartbeat"; sender and incarnation travel in the envelope.
nlohmann::json toJson(const Heartbeat& heartbeat);

/// Parses a message whose sender and incarnation were filled in by the mesh; empty if a field is wrong.
std::optional<Heartbeat> parseHeartbeat(const nlohmann::json& message);

/// Returns the peers that get heartbeats: all while there are few, else a fixed number chosen by rendezvous hashing,
/// so that the traffic of an instance does not grow with the size of the deployment.
std::vector<PeerView> selectHeartbeatPeers(const std::vector<PeerView>& peers, const std::string& ownId);

} // namespace bulrushstack
