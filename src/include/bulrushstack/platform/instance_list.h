#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/result.h"
#include "bulrushstack/kernel/settings.h"

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

enum class InstanceRole {
    Entry, ///< instance of bulrushd, the entry point for requests
    Engine, ///< model engine
    Service, ///< HTTP service other than a model engine
};

enum class InstanceState {
    Live,
    Leaving,
};

std::string_view toString(InstanceRole role); ///< "entry", "engine" or "service"
std::string_view toString(InstanceState state); ///< "live" or "leaving"
std::optional<InstanceRole> parseInstanceRole(std::string_view text);
std::optional<InstanceState> parseInstanceState(std::string_view text);

/// Record of the platform's instance list.
struct InstanceRecord {
    std::string id;
    InstanceRole role = InstanceRole::Entry;
    std::string service; ///< name of the service that the instance provides; role Service only
    Address address; ///< where the instance accepts requests
    std::uint16_t peerPort = 0; ///< port for messages between instances of bulrushd; role Entry only
    std::string zone; ///< availability zone
    InstanceState state = InstanceState::Live;
    std::uint64_t incarnation = 0; ///< increases with every restart of the instance
    bool checksFencing = false; ///< whether an engine or service rejects requests with an outdated fencing number

    friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

/// The platform's list of live and leaving instances. It may lag behind the actual state.
class InstanceList {
public:
    virtual ~InstanceList() = default;

    /// Returns all records, sorted by id. Fails with Errc::Unavailable or Errc::Timeout if the platform does not
    /// respond, and with Errc::Malformed if any record is invalid.
    virtual boost::asio::awaitable<Result<std::vector<InstanceRecord>>> list(SteadyTime deadline) = 0;
};

} // namespace bulrushstack
