#include "bulrushstack/serving/serving_request.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

ServingRequest requestWithLastPart(const std::string& ownPart)
{
    return { .id = "q1",
        .host = "house",
        .path = "/brief/1",
        .model = "m-0",
        .prompt = { { .id = "shared", .tokens = 800 }, { .id = ownPart, .tokens = 40 } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheDigestOfARequest)

BOOST_AUTO_TEST_SUITE(WithoutABody)

// A request that crashes upstreams is quarantined by its digest. Requests that differ only in their prompt parts must
// have different digests, or the quarantine of one request would refuse all requests of the route.
BOOST_AUTO_TEST_CASE(DiffersForAnotherPrompt)
{
    BOOST_TEST(requestDigest(requestWithLastPart("a"), "/brief/1", "")
        != requestDigest(requestWithLastPart("b"), "/brief/1", ""));
}

BOOST_AUTO_TEST_CASE(IsTheSameUnderAnotherId)
{
    auto again = requestWithLastPart("a");
    again.id = "q2";
    BOOST_TEST(requestDigest(requestWithLastPart("a"), "/brief/1", "") == requestDigest(again, "/brief/1", ""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithABody)

// A caller may assign new ids to the prompt parts when it sends the same body again.
BOOST_AUTO_TEST_CASE(DependsOnTheBodyAndNotOnThePrompt)
{
    BOOST_TEST(requestDigest(requestWithLastPart("a"), "/brief/1", "text")
        == requestDigest(requestWithLastPart("b"), "/brief/1", "text"));
    BOOST_TEST(requestDigest(requestWithLastPart("a"), "/brief/1", "text")
        != requestDigest(requestWithLastPart("a"), "/brief/1", "other"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
