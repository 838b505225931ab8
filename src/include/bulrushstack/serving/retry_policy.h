#pragma once

#include "bulrushstack/kernel/verdict.h"
#include "bulrushstack/serving/serving_configuration.h"

#include <chrono>

namespace bulrushstack {

/// What is known when an attempt has failed.
struct FailedAttempt {
    Verdict verdict = Verdict::MayHaveRun; ///< of this attempt
    bool wasSent = true; ///< bytes of the request reached the upstream, so that the attempt counts as an arrival
    bool hasForwardedOutput = false; ///< part of the answer went to the caller
    bool canResume = false; ///< the part that went out ends with a numbered event
    unsigned upstreamsTried = 1; ///< upstreams that may have run the request, and those that refused it
    unsigned possibleRuns = 0; ///< upstreams that may have run the request
    unsigned connectFailures = 0;
    std::chrono::nanoseconds timeLeft {};

    friend bool operator==(const FailedAttempt&, const FailedAttempt&) = default;
};

enum class RetryDecision {
    GiveUp,
    RetryElsewhere, ///< another attempt that needs nothing from the retry budget
    RetryElsewhereOnBudget, ///< another attempt, if the retry budget has one left
};

/// Decides whether a request goes to another upstream after a failed attempt.
///
/// A request that must not be repeated goes on only if it has certainly not run. The others go on within the number of
/// upstreams that the route permits, also in the middle of a stream that can be continued.
RetryDecision decideRetry(const RouteSpec& route, const FailedAttempt& attempt);

} // namespace bulrushstack
