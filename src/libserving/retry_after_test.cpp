#include "bulrushstack/serving/retry_after.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ARetryAfterOfAnUpstream)

BOOST_AUTO_TEST_CASE(IsReadInSeconds)
{
    BOOST_CHECK(readRetryAfter("2") == 2s);
    BOOST_CHECK(readRetryAfter(" 0.25 ") == 250ms);
}

// Guards against a wrong value that loses an upstream for good, or that leaves one without the pause that it wants.
BOOST_AUTO_TEST_CASE(HasABoundedReadingForEveryValue)
{
    BOOST_CHECK(readRetryAfter("0") == 0s);
    BOOST_CHECK(readRetryAfter("-5") == 0s);
    BOOST_CHECK(readRetryAfter("-1e999") == 0s);
    BOOST_CHECK(readRetryAfter("86400") == largestRetryAfter);
    BOOST_CHECK(readRetryAfter("1e999") == largestRetryAfter);
    BOOST_CHECK(readRetryAfter("inf") == largestRetryAfter);
    for (const auto* value : { "", "soon", "nan", "2s", "Fri, 04 Dec 2026 10:00:00 GMT" })
        BOOST_CHECK(readRetryAfter(value) == unreadableRetryAfter);
}

BOOST_AUTO_TEST_SUITE_END()
