#pragma once

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

/// How a call may be repeated and how it is answered.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    Stream, ///< a series of events; may be repeated only where the route is resumable
};

std::string_view toString(CallKind kind);

/// A model and the time that an upstream needs to load it.
struct ModelSpec {
    std::string name;
    double sizeMb = 0;
    FractionalSeconds weightStoreLoadTime {}; ///< from the weight store
    FractionalSeconds diskLoadTime {}; ///< from a copy on the upstream's disk
    FractionalSeconds hostMemoryLoadTime {}; ///< from a copy in the upstream's host memory
    unsigned adapterCount = 0;
    double adapterSizeMb = 0;

    friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

/// What the upstreams of a service with models have in common.
struct EngineSpec {
    unsigned slots = 1; ///< requests that run at the same time
    std::uint64_t kvCacheTokens = 0;
    double memoryMb = 0; ///< memory for weights and adapters
    unsigned adapterSlots = 0;
    double weightStoreLoadsPerSecond = 0; ///< of the weight store, over all upstreams
    std::vector<ModelSpec> models;

    const ModelSpec* findModel(std::string_view name) const;
    friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

struct ServiceSpec {
    std::string name;
    unsigned maxConnections = 0; ///< of one upstream, over all callers; 0: unknown
    std::optional<EngineSpec> engine; ///< empty for plain services

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct WeightedService {
    std::string service;
    unsigned weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Where requests of one host and path prefix go, and what is promised for them.
struct RouteSpec {
    std::string name;
    std::string host;
    std::string prefix;
    CallKind kind = CallKind::NonIdempotent;
    Milliseconds timeout {}; ///< longest time that a request is kept
    Milliseconds latencyObjective {}; ///< to the answer, or to the first event of a stream
    Milliseconds gapObjective {}; ///< longest pause between two events of a stream; zero: none
    unsigned priority = 0; ///< 0 is the most urgent
    unsigned attemptLimit = 1; ///< upstreams that may be given one request
    bool isResumable = false;
    std::vector<WeightedService> services;

    /// Returns whether one request may run more than once.
    bool isRepeatable() const { return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable); }

    friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

/// Returns the service that gets a request, with the weights of the route; `random` is uniform over its range.
std::string_view chooseService(const RouteSpec& route, std::uint64_t random);

/// What a client may send and how long it may take.
struct RequestLimits {
    std::uint64_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    Milliseconds headerTimeout { 10'000 };
    Milliseconds idleTimeout { 60'000 };

    friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

/// One version of the routes and services. Immutable; shared by the requests that were admitted under it.
class ServingConfiguration {
public:
    ServingConfiguration(
        std::uint64_t version, std::vector<RouteSpec> routes, std::vector<ServiceSpec> services, RequestLimits limits);

    std::uint64_t version() const { return m_version; }
    const std::vector<RouteSpec>& routes() const { return m_routes; }
    const std::vector<ServiceSpec>& services() const { return m_services; }
    const RequestLimits& limits() const { return m_limits; }

    /// Returns the route of the host whose prefix is the longest that begins the path; null if there is none.
    const RouteSpec* findRoute(std::string_view host, std::string_view path) const;

    const ServiceSpec* findService(std::string_view name) const;

private:
    std::uint64_t m_version;
    std::vector<RouteSpec> m_routes;
    std::vector<ServiceSpec> m_services;
    RequestLimits m_limits;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< longest prefix first
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace bulrushstack
