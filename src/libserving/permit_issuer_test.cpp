#include "bulrushstack/serving/permit_issuer.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock;
    PermitIssuer issuer { clock };

    PermitReply ask(double requestsPerSecond, std::chrono::milliseconds age = 0ms, std::uint64_t startedAt = 1)
    {
        return issuer.issue(
            { .upstream = "a", .startedAt = startedAt, .requestsPerSecond = requestsPerSecond, .age = age });
    }

    /// Asks every 10 ms; returns the number of permits.
    unsigned permitsWithin(std::chrono::milliseconds duration, double requestsPerSecond)
    {
        unsigned out = 0;
        for (auto elapsed = 0ms; elapsed < duration; elapsed += 10ms) {
            out += ask(requestsPerSecond).isGranted ? 1 : 0;
            clock.advance(10ms);
        }
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnIssuerOfPermits, Fixture)

// Guards against more requests than the limit allows, and against an upstream that is hardly used.
BOOST_AUTO_TEST_CASE(IssuesAsManyAsTheLimitAllows)
{
    for (const double limit : { 0.5, 1.0, 1.7, 20.0 }) {
        clock.advance(11s); // The bucket of the previous limit is dropped.
        const unsigned n = permitsWithin(20s, limit);
        BOOST_TEST(n <= 20 * limit + PermitIssuer::burst(limit));
        BOOST_TEST(n >= 20 * limit - 1);
    }
}

BOOST_AUTO_TEST_SUITE(AfterATimeWithoutRequests)

// Guards against a burst after a time in which nobody asked.
BOOST_AUTO_TEST_CASE(IssuesAFewAtOnce)
{
    ask(2.0);
    clock.advance(9s);
    unsigned n = 0;
    while (ask(2.0).isGranted)
        ++n;
    BOOST_TEST(n == 2u);
}

// Guards against a new issuer that grants what its predecessor has just granted.
BOOST_AUTO_TEST_CASE(BeginsWithoutPermits)
{
    BOOST_TEST(!ask(5.0).isGranted);
    clock.advance(11s);
    BOOST_TEST(!ask(5.0).isGranted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutAPermit)

// Guards against instances that all ask again at the same moment.
BOOST_AUTO_TEST_CASE(TellsEachInstanceALaterTime)
{
    BOOST_TEST(ask(2.0).retryAfter.count() == 500);
    BOOST_TEST(ask(2.0).retryAfter.count() == 1000);
    BOOST_TEST(ask(2.0).retryAfter.count() == 1500);
}

// Guards against instances that notice only much later that a limit was raised or ended.
BOOST_AUTO_TEST_CASE(BoundsTheTime)
{
    BOOST_TEST(ask(0.0).retryAfter.count() == 2000);
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(ask(0.3).retryAfter.count() <= 2000);
}

// Guards against a model whose only copy is on an upstream that accepts fewer requests than arrive.
BOOST_AUTO_TEST_CASE(CountsTheUpstreamAsExhaustedForAWhile)
{
    BOOST_TEST(!issuer.isExhausted("a", 1));
    ask(1.0);
    BOOST_TEST(issuer.isExhausted("a", 1));
    BOOST_TEST(!issuer.isExhausted("a", 2));
    clock.advance(4s);
    BOOST_TEST(!issuer.isExhausted("a", 1));
    BOOST_TEST(ask(1.0).isGranted);
    BOOST_TEST(!issuer.isExhausted("a", 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLimitChanges)

BOOST_AUTO_TEST_CASE(FollowsTheLatestStatement)
{
    ask(1.0, 500ms);
    ask(4.0, 100ms);
    clock.advance(1s);
    BOOST_TEST(ask(1.0, 2s).isGranted);
    BOOST_TEST(ask(1.0, 2s).isGranted);
    BOOST_TEST(ask(1.0, 2s).isGranted);
    BOOST_TEST(!ask(1.0, 2s).isGranted);
}

BOOST_AUTO_TEST_CASE(CountsProcessesOfAnUpstreamApart)
{
    ask(1.0);
    clock.advance(1s);
    BOOST_TEST(!ask(1.0, 0ms, 2).isGranted);
    BOOST_TEST(ask(1.0).isGranted);
}

// Guards against an upstream that is never asked whether its limit has ended.
BOOST_AUTO_TEST_CASE(StillIssuesAPermitNowAndThenForALimitOfZero) { BOOST_TEST(permitsWithin(60s, 0.0) == 5u); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
