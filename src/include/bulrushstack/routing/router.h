#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/membership/directory.h"

#include <set>
#include <string>
#include <variant>

namespace bulrushstack {

/// Properties of a request that determine which upstreams can serve it.
struct RouteRequest {
    InstanceRole role = InstanceRole::Engine;
    /// Id of the requested model or adapter; used only with InstanceRole::Engine.
    std::string model;
    /// Name of the requested service; used only with InstanceRole::Service.
    std::string service;
    /// Availability zone of this instance.
    std::string zone;
    /// Digest of the cache salt and the prompt prefix. Requests with equal keys prefer the same upstream, which then
    /// has the prefix in its cache. Empty: no preference.
    std::string affinityKey;
    Urgency urgency = Urgency::Interactive;
    /// Ids of the upstreams that were already tried for this request.
    std::set<std::string, std::less<>> excluded;

    friend bool operator==(const RouteRequest&, const RouteRequest&) = default;
};

/// Reason why no upstream was chosen. Later values take precedence when candidates were rejected for different reasons.
enum class NoRouteReason {
    /// No live upstream has the requested role and the model or service.
    NoneKnown,
    AllExcluded, ///< Every candidate was already tried.
    AllUnreachable, ///< Every remaining candidate is unreachable.
    AllFull, ///< Every reachable candidate is at its concurrency limit.
};

/// Result of chooseUpstream() when no upstream can take the request.
struct NoRoute {
    NoRouteReason reason = NoRouteReason::NoneKnown;
    std::chrono::seconds retryAfter { 1 }; ///< Delay to report to the caller before it retries.

    friend bool operator==(const NoRoute&, const NoRoute&) = default;
};

/// The chosen upstream.
struct Route {
    std::string upstreamId;
    Address address;
    std::uint64_t incarnation = 0;
    double score = 0; ///< Predicted seconds until the first token, less the affinity bonus; lower is better.

    friend bool operator==(const Route&, const Route&) = default;
};

using RouteDecision = std::variant<Route, NoRoute>;

struct RoutingOptions {
    /// Most concurrent requests that this instance sends to one upstream.
    std::uint32_t concurrencyLimit = 64;
    /// Round-trip time to another availability zone.
    std::chrono::nanoseconds zonePenalty = std::chrono::milliseconds(3);
    /// Number of slots below the concurrency limit that batch requests leave free for interactive requests.
    std::uint32_t batchReserve = 8;
};

/// Chooses the upstream with the lowest score among the live, reachable ones that serve the requested model or service.
/// Has no side effects; the result depends only on the arguments.
RouteDecision chooseUpstream(
    const UpstreamSnapshot& upstreams, const RouteRequest& request, const RoutingOptions& options);

} // namespace bulrushstack
