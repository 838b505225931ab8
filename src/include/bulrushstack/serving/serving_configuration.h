#pragma once

#include "bulrushstack/teams/team_directory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushstack {

using Milliseconds = std::chrono::milliseconds;
using FractionalSeconds = std::chrono::duration<double>;

/// Whether a call may be repeated, and whether its response is a stream.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    Stream, ///< The response is an event stream; the call may be repeated only if the route is resumable.
};

std::string_view toString(CallKind kind);

/// A model and the time that an upstream takes to load it.
struct ModelSpec {
    std::string name;
    double sizeMb = 0;
    FractionalSeconds weightStoreLoadTime {}; ///< Time to load the weights from the weight store.
    FractionalSeconds diskLoadTime {}; ///< Time to load the weights from the disk of the upstream.
    FractionalSeconds hostMemoryLoadTime {}; ///< Time to load the weights from the host memory of the upstream.
    unsigned adapterCount = 0;
    double adapterSizeMb = 0;

    friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

/// Properties that all upstreams of a model service have in common.
struct EngineSpec {
    unsigned slots = 1; ///< Number of requests that run concurrently on one upstream.
    std::uint64_t kvCacheTokens = 0;
    double memoryMb = 0; ///< Memory of one upstream for model weights and adapters.
    unsigned adapterSlots = 0; ///< Number of adapters that one upstream can have loaded.
    double weightStoreLoadsPerSecond = 0; ///< Rate limit for loads from the weight store, over all upstreams.
    std::vector<ModelSpec> models;

    const ModelSpec* findModel(std::string_view name) const;
    friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

struct ServiceSpec {
    std::string name;
    unsigned maxConnections = 0; ///< Connection limit of one upstream, over all callers; 0 if unknown.
    std::optional<EngineSpec> engine; ///< Engine settings of a model service; empty for plain services.

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// A service and its share of the requests of a route, in proportion to the weights of the others.
struct WeightedService {
    std::string service;
    unsigned weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Services and objectives for the requests of one host and path prefix.
struct RouteSpec {
    std::string name;
    std::string host;
    std::string prefix;
    CallKind kind = CallKind::NonIdempotent;
    Milliseconds timeout {}; ///< Longest time that a request may take.
    Milliseconds latencyObjective {}; ///< Objective for the time to the response, or to the first event of a stream.
    /// Objective for the longest time between two events of a stream; zero if there is none.
    Milliseconds gapObjective {};
    unsigned priority = 0; ///< Priority of the requests; 0 is the most urgent.
    unsigned attemptLimit = 1; ///< Number of upstreams that may run one request.
    bool isResumable = false; ///< A stream can be resumed on another upstream.
    bool isPublic = false; ///< Requests need no key of a team.
    std::vector<WeightedService> services;

    /// Returns whether a request may run more than once.
    bool isRepeatable() const { return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable); }

    friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

/// Chooses the service for a request at random in proportion to the weights. `random` must be uniformly distributed
/// over its range.
std::string_view chooseService(const RouteSpec& route, std::uint64_t random);

/// Size and time limits for client requests.
struct RequestLimits {
    std::uint64_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    Milliseconds headerTimeout { 10'000 };
    Milliseconds idleTimeout { 60'000 };

    friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

/// One version of the routes, services and teams. Immutable; requests share the version under which they were admitted.
class ServingConfiguration {
public:
    ServingConfiguration(std::uint64_t version, std::vector<RouteSpec> routes, std::vector<ServiceSpec> services,
        RequestLimits limits, TeamDirectoryPtr teams = {});

    std::uint64_t version() const { return m_version; }
    const std::vector<RouteSpec>& routes() const { return m_routes; }
    const std::vector<ServiceSpec>& services() const { return m_services; }
    const RequestLimits& limits() const { return m_limits; }

    /// Returns the teams; null if requests need no key.
    const TeamDirectoryPtr& teams() const { return m_teams; }

    /// Returns the route of the host with the longest prefix that matches the path; null if there is none.
    const RouteSpec* findRoute(std::string_view host, std::string_view path) const;

    /// Returns the service with this name; null if there is none.
    const ServiceSpec* findService(std::string_view name) const;

private:
    std::uint64_t m_version;
    std::vector<RouteSpec> m_routes;
    std::vector<ServiceSpec> m_services;
    RequestLimits m_limits;
    TeamDirectoryPtr m_teams;
    /// Route indices by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace bulrushstack
