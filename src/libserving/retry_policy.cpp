#include "bulrushstack/serving/retry_policy.h"

namespace bulrushstack {

namespace {

constexpr std::chrono::milliseconds minTimeLeft { 20 }; ///< Shortest time in which an attempt can succeed.
constexpr unsigned refusalLimit = 3; ///< Upstreams that may refuse a request before the caller gets an error.
constexpr unsigned connectFailureLimit = 4; ///< Connections that may fail for one request.

} // namespace

RetryDecision decideRetry(const RouteSpec& route, const FailedAttempt& attempt)
{
    if (attempt.timeLeft < minTimeLeft)
        return RetryDecision::GiveUp;
    if (attempt.hasForwardedOutput && !(route.isResumable && attempt.canResume))
        return RetryDecision::GiveUp;
    if (attempt.verdict == Verdict::NotRun) {
        if (!attempt.wasSent)
            return attempt.connectFailures < connectFailureLimit ? RetryDecision::RetryElsewhere
                                                                 : RetryDecision::GiveUp;
        return attempt.upstreamsTried < refusalLimit ? RetryDecision::RetryElsewhereOnBudget : RetryDecision::GiveUp;
    }
    if (!route.isRepeatable() || attempt.possibleRuns >= route.attemptLimit)
        return RetryDecision::GiveUp;
    return RetryDecision::RetryElsewhereOnBudget;
}

} // namespace bulrushstack
