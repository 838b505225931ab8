#include "bulrushstack/serving/retry_after.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ARetryAfterOfAnUpstream)

BOOST_AUTO_TEST_CASE(IsReadInSeconds)
{
    BOOST_CHECK(parseRetryAfter("2") == 2s);
    BOOST_CHECK(parseRetryAfter(" 0.25 ") == 250ms);
}

// Guards against an invalid value that excludes an upstream for good, or that is ignored although the upstream asks for
// a pause.
BOOST_AUTO_TEST_CASE(HasABoundedReadingForEveryValue)
{
    BOOST_CHECK(parseRetryAfter("0") == 0s);
    BOOST_CHECK(parseRetryAfter("-5") == 0s);
    BOOST_CHECK(parseRetryAfter("-1e999") == 0s);
    BOOST_CHECK(parseRetryAfter("86400") == maxRetryAfter);
    BOOST_CHECK(parseRetryAfter("1e999") == maxRetryAfter);
    BOOST_CHECK(parseRetryAfter("inf") == maxRetryAfter);
    for (const auto* value : { "", "soon", "nan", "2s", "Fri, 04 Dec 2026 10:00:00 GMT" })
        BOOST_CHECK(parseRetryAfter(value) == defaultRetryAfter);
}

BOOST_AUTO_TEST_SUITE_END()
