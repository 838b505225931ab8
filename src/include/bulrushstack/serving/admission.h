#pragma once

#include "bulrushstack/serving/serving_configuration.h"
#include "bulrushstack/serving/upstream_selection.h"

#include <optional>

namespace bulrushstack {

/// What an admission depends on, besides the upstreams.
struct AdmissionInput {
    Milliseconds latencyObjective {};
    Milliseconds timeLeft {}; ///< that the caller still waits
    double jitter = 0; ///< 0 to 1, random, so that refused callers do not return together
};

/// Decides whether a request is sent to the best of its upstreams; returns when its caller shall come back if it is
/// not.
///
/// Answers load beyond what the upstreams of a model can serve. Each request that is sent then waits about as long as
/// the upstream is behind, and an upstream that is sent all of them answers each one late or after its caller has left.
/// Requests over its capacity are refused at once, so that those it takes are answered within their objective.
std::optional<Milliseconds> rejectionRetryDelay(const AdmissionInput& input, const RankedUpstream& best);

} // namespace bulrushstack
