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
    Entry, ///< an instance of bulrushd
    Engine, ///< a model engine
    Service, ///< a plain service
};

enum class InstanceState {
    Live,
    Leaving,
};

std::string_view toString(InstanceRole role); ///< "entry", "engine" or "service"
std::string_view toString(InstanceState state); ///< "live" or "leaving"
std::optional<InstanceRole> parseInstanceRole(std::string_view text);
std::optional<InstanceState> parseInstanceState(std::string_view text);

/// One line of the platform's instance list.
struct InstanceRecord {
    std::string id;
    InstanceRole role = InstanceRole::Entry;
    std::string service; ///< name of the plain service; empty for other roles
    Address address; ///< where requests go
    std::uint16_t peerPort = 0; ///< port for other instances; role Entry only
    std::string zone; ///< availability zone
    InstanceState state = InstanceState::Live;
    std::uint64_t incarnation = 0;
    bool checksFencing = false; ///< whether an engine or service refuses old fencing numbers

    friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

/// The platform's list of live and leaving instances; it lags behind the truth.
class InstanceList {
public:
    virtual ~InstanceList() = default;

    /// Returns all records in the order of their ids.
    virtual boost::asio::awaitable<Result<std::vector<InstanceRecord>>> list(SteadyTime deadline) = 0;
};

} // namespace bulrushstack
