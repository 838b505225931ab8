#pragma once

#include "bulrushstack/serving/serving_configuration.h"
#include "bulrushstack/serving/upstream_selection.h"

#include <optional>

namespace bulrushstack {

/// Properties of a request that the admission decision depends on.
struct AdmissionInput {
    Milliseconds latencyObjective {}; ///< Latency objective of the route; zero or less admits every request.
    Milliseconds timeLeft {}; ///< Time left until the deadline of the request.
    /// Random number from 0 to 1 that spreads the retry delays, so that rejected callers do not all retry at once.
    double jitter = 0;
};

/// Decides whether a request is rejected because the best upstream for it is overloaded. Returns the delay after which
/// the caller should retry, or nothing if the request is admitted.
///
/// When the load exceeds the capacity of the upstreams of a model, each admitted request waits about as long as the
/// queueing delay of its upstream. An upstream that received all requests would answer every one late, or after its
/// caller has given up. Requests over capacity are therefore rejected at once, so that the admitted ones meet their
/// latency objective.
std::optional<Milliseconds> rejectionRetryDelay(const AdmissionInput& input, const RankedUpstream& best);

} // namespace bulrushstack
