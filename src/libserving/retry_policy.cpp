#include "bulrushstack/serving/retry_policy.h"

namespace bulrushstack {

namespace {

constexpr std::chrono::milliseconds minimumTimeLeft { 20 }; ///< less is not enough for an attempt
constexpr unsigned refusalLimit = 3; ///< upstreams that may refuse one request before its caller is told
constexpr unsigned connectLimit = 4; ///< connections that may fail for one request

} // namespace

NextStep decideNextStep(const RouteSpec& route, const FailedAttempt& attempt)
{
    if (attempt.timeLeft < minimumTimeLeft)
        return NextStep::GiveUp;
    if (attempt.hasOutput && !(route.isResumable && attempt.canContinue))
        return NextStep::GiveUp;
    if (attempt.verdict == Verdict::NotRun) {
        if (!attempt.wasSent)
            return attempt.connectFailures < connectLimit ? NextStep::TryElsewhere : NextStep::GiveUp;
        return attempt.upstreamsTried < refusalLimit ? NextStep::TryElsewhereOnBudget : NextStep::GiveUp;
    }
    if (!route.isRepeatable() || attempt.upstreamsRun >= route.attemptLimit)
        return NextStep::GiveUp;
    return NextStep::TryElsewhereOnBudget;
}

} // namespace bulrushstack
