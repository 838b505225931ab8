#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/membership/directory.h"

#include <set>
#include <string>
#include <variant>

namespace bulrushstack {

/// What a request needs of an upstream.
struct RouteRequest {
    InstanceRole role = InstanceRole::Engine;
    std::string model; ///< model or adapter id; role Engine
    std::string service; ///< service name; role Service
    std::string zone; ///< availability zone of this instance
    std::string affinityKey; ///< equal keys prefer the same upstream; digest of salt and prompt prefix
    Urgency urgency = Urgency::Interactive;
    std::set<std::string, std::less<>> excluded; ///< ids of upstreams that were tried already

    friend bool operator==(const RouteRequest&, const RouteRequest&) = default;
};

/// Why no upstream was chosen.
enum class NoRouteReason {
    NoneKnown, ///< no live upstream of the role, or none with the model
    AllExcluded, ///< every candidate was tried already
    AllUnreachable,
    AllFull, ///< every candidate is at its concurrency limit
};

struct NoRoute {
    NoRouteReason reason = NoRouteReason::NoneKnown;
    std::chrono::seconds retryAfter { 1 };

    friend bool operator==(const NoRoute&, const NoRoute&) = default;
};

/// The chosen upstream.
struct Route {
    std::string upstreamId;
    Address address;
    std::uint64_t incarnation = 0;
    double score = 0; ///< predicted seconds to the first token; lower is better

    friend bool operator==(const Route&, const Route&) = default;
};

using RouteDecision = std::variant<Route, NoRoute>;

struct RoutingOptions {
    std::uint32_t concurrencyLimit = 64; ///< requests of this instance on one upstream
    std::chrono::nanoseconds zonePenalty = std::chrono::milliseconds(3); ///< round trip to another availability zone
    std::uint32_t batchReserve = 8; ///< part of the limit that batch requests leave free
};

/// Chooses an upstream. A pure function of its arguments.
RouteDecision chooseUpstream(
    const UpstreamSnapshot& upstreams, const RouteRequest& request, const RoutingOptions& options);

} // namespace bulrushstack
