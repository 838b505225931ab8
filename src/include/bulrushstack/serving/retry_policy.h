#pragma once

#include "bulrushstack/kernel/verdict.h"
#include "bulrushstack/serving/serving_configuration.h"

#include <chrono>

namespace bulrushstack {

/// State of a request after a failed attempt.
struct FailedAttempt {
    Verdict verdict = Verdict::MayHaveRun; ///< Whether the last attempt may have run the request.
    /// Whether bytes of the request reached the upstream in the last attempt, so that the upstream counts it as an
    /// arrival.
    bool wasSent = true;
    bool hasForwardedOutput = false; ///< Part of the response was forwarded to the caller.
    /// The forwarded part ends with an event that has an id, so that the stream can be resumed after it.
    bool canResume = false;
    unsigned upstreamsTried = 1; ///< Number of upstreams that may have run the request or that refused it.
    unsigned possibleRuns = 0; ///< Number of upstreams that may have run the request.
    unsigned connectFailures = 0; ///< Number of connections that failed for the request.
    std::chrono::nanoseconds timeLeft {}; ///< Time left until the deadline of the request.

    friend bool operator==(const FailedAttempt&, const FailedAttempt&) = default;
};

enum class RetryDecision {
    GiveUp,
    RetryElsewhere, ///< Retry on another upstream; the retry does not count against the retry budget.
    RetryElsewhereOnBudget, ///< Retry on another upstream if the retry budget has a retry left.
};

/// Decides whether a request is retried on another upstream after a failed attempt.
///
/// A request that must not run twice is retried only if it has certainly not run. Other requests are retried within the
/// attempt limit of the route, including a partly forwarded stream that can be resumed.
RetryDecision decideRetry(const RouteSpec& route, const FailedAttempt& attempt);

} // namespace bulrushstack
