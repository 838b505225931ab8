#include "bulrushstack/serving/retry_policy.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

RouteSpec route(CallKind kind, unsigned attemptLimit, bool isResumable = false)
{
    return { .kind = kind, .attemptLimit = attemptLimit, .isResumable = isResumable };
}

const auto once = route(CallKind::NonIdempotent, 3);

const FailedAttempt refused { .verdict = Verdict::NotRun, .upstreamsTried = 1, .timeLeft = 1s };
const FailedAttempt unreachable {
    .verdict = Verdict::NotRun, .wasSent = false, .upstreamsTried = 0, .connectFailures = 1, .timeLeft = 1s
};
const FailedAttempt lost { .verdict = Verdict::MayHaveRun, .upstreamsTried = 1, .possibleRuns = 1, .timeLeft = 1s };

} // namespace

BOOST_AUTO_TEST_SUITE(AfterAFailedAttempt)

BOOST_AUTO_TEST_SUITE(ACallThatMayRunOnlyOnce)

// Guards against a non-idempotent call that runs twice.
BOOST_AUTO_TEST_CASE(EndsIfItMayHaveRun) { BOOST_CHECK(decideRetry(once, lost) == RetryDecision::GiveUp); }

BOOST_AUTO_TEST_CASE(GoesElsewhereIfItHasCertainlyNotRun)
{
    BOOST_CHECK(decideRetry(once, refused) == RetryDecision::RetryElsewhereOnBudget);
    BOOST_CHECK(decideRetry(once, unreachable) == RetryDecision::RetryElsewhere);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARepeatableCall)

const auto repeatable = route(CallKind::Idempotent, 2);

BOOST_AUTO_TEST_CASE(GoesElsewhereWithinItsAttempts)
{
    BOOST_CHECK(decideRetry(repeatable, lost) == RetryDecision::RetryElsewhereOnBudget);
    auto second = lost;
    second.possibleRuns = 2;
    BOOST_CHECK(decideRetry(repeatable, second) == RetryDecision::GiveUp);
}

BOOST_AUTO_TEST_CASE(EndsWhenTheTimeIsOver)
{
    auto late = lost;
    late.timeLeft = 1ms;
    BOOST_CHECK(decideRetry(repeatable, late) == RetryDecision::GiveUp);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AStream)

// Guards against a stream that mixes the output of two runs.
BOOST_AUTO_TEST_CASE(EndsOnceEventsWentOutUnlessItCanBeContinued)
{
    auto cut = lost;
    cut.hasForwardedOutput = true;
    BOOST_CHECK(decideRetry(route(CallKind::Stream, 2), cut) == RetryDecision::GiveUp);
    BOOST_CHECK(decideRetry(route(CallKind::Stream, 2, true), cut) == RetryDecision::GiveUp);
    cut.canResume = true;
    BOOST_CHECK(decideRetry(route(CallKind::Stream, 2, true), cut) == RetryDecision::RetryElsewhereOnBudget);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against requests that try every overloaded upstream in turn.
BOOST_AUTO_TEST_CASE(RefusalsAndFailedConnectionsAreLimited)
{
    auto many = refused;
    many.upstreamsTried = 3;
    BOOST_CHECK(decideRetry(once, many) == RetryDecision::GiveUp);
    auto dead = unreachable;
    dead.connectFailures = 4;
    BOOST_CHECK(decideRetry(once, dead) == RetryDecision::GiveUp);
}

BOOST_AUTO_TEST_SUITE_END()
