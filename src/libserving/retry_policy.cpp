#include "bulrushstack/serving/retry_policy.h"

namespace bulrushstack {

namespace {

constexpr std::chrono::milliseconds minTimeLeft { 20 }; ///< less is not enough for an attempt
constexpr unsigned refusalLimit = 3; ///< upstreams that may refuse one request before its caller is told
constexpr unsigned connectFailureLimit = 4; ///< connections that may fail for one request

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
