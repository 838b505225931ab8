#include "bulrushstack/serving/recent_refusals.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 4; // refusals per second that the upstream stands

struct Fixture {
    ManualClock clock;
    RecentRefusals refusals { clock };

    bool explainFailure(std::uint64_t startedAt = 1) const
    {
        return refusals.mayExplainFailure("u1", startedAt, limit);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheFailureOfABrittleUpstream, Fixture)

BOOST_AUTO_TEST_CASE(IsNotExplainedWithoutRefusals) { BOOST_TEST(!explainFailure()); }

BOOST_AUTO_TEST_CASE(IsExplainedByHalfOfTheRefusalsThatItStands)
{
    refusals.record("u1", 1, 1);
    BOOST_TEST(!explainFailure());
    clock.advance(300ms);
    refusals.record("u1", 1, 1);
    BOOST_TEST(explainFailure());
}

BOOST_AUTO_TEST_CASE(IsExplainedByRefusalsThatAnotherInstanceReports)
{
    refusals.record("u1", 1, 3);
    BOOST_TEST(explainFailure());
}

// Guards against a crashing request that hides behind refusals of long ago, or of another process.
BOOST_AUTO_TEST_CASE(IsNotExplainedByOtherRefusals)
{
    refusals.record("u1", 1, 10);
    refusals.record("u2", 2, 10);
    BOOST_TEST(!explainFailure(2));
    clock.advance(2s);
    BOOST_TEST(!explainFailure());
}

BOOST_AUTO_TEST_SUITE_END()
