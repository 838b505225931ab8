#pragma once

#include "bulrushstack/kernel/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bulrushstack {

/// Asks for a permit to send one request to an upstream that states a rate limit.
struct PermitRequest {
    std::string upstream;
    std::uint64_t startedAt = 0; ///< Start time of the upstream's process, in Unix milliseconds.
    double requestsPerSecond = 0; ///< Limit that the upstream stated.
    std::chrono::milliseconds age {}; ///< Time since the upstream stated it.

    friend bool operator==(const PermitRequest&, const PermitRequest&) = default;
};

struct PermitReply {
    bool isGranted = false;
    /// Time after which to ask again, if no permit was granted.
    std::chrono::milliseconds retryAfter {};

    friend bool operator==(const PermitReply&, const PermitReply&) = default;
};

/// Issues permits for requests to upstreams that limit the rate at which they accept requests from all instances
/// together. One instance issues the permits for all others, with one token bucket for each process of an upstream.
/// Performs no I/O.
///
/// A bucket starts empty, so that a new issuer does not grant again what its predecessor has granted.
class PermitIssuer {
public:
    explicit PermitIssuer(const Clock& clock);

    PermitReply issue(const PermitRequest& request);

    /// Returns whether a permit for this process of an upstream was denied recently, so that the demand for it exceeds
    /// its limit.
    bool isExhausted(const std::string& upstream, std::uint64_t startedAt) const;

    /// Tokens that a bucket can hold at most, for a limit in requests per second.
    static double burst(double requestsPerSecond);

private:
    struct Bucket {
        double requestsPerSecond = 0;
        SteadyTime statedAt {}; ///< Time of the latest response with the limit that the issuer heard of.
        double tokens = 0;
        SteadyTime refilledAt {};
        unsigned denials = 0; ///< Denied requests since the last permit.
        std::optional<SteadyTime> deniedAt; ///< Time of the last denied request.
    };

    Bucket& bucketOf(const PermitRequest& request);
    void dropUnused();

    const Clock& m_clock;
    /// By id and start time of the upstream.
    std::map<std::pair<std::string, std::uint64_t>, Bucket> m_buckets;
};

} // namespace bulrushstack
