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

// A request that crashes upstreams is quarantined by its digest. Where only the prompt parts tell requests apart, the
// quarantine of one must not refuse all others of the route.
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

// Callers that send the same body again may name the parts of its prompt anew.
BOOST_AUTO_TEST_CASE(DependsOnTheBodyAndNotOnThePrompt)
{
    BOOST_TEST(requestDigest(requestWithLastPart("a"), "/brief/1", "text")
        == requestDigest(requestWithLastPart("b"), "/brief/1", "text"));
    BOOST_TEST(requestDigest(requestWithLastPart("a"), "/brief/1", "text")
        != requestDigest(requestWithLastPart("a"), "/brief/1", "other"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
