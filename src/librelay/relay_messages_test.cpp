#include "bulrushstack/relay/relay_messages.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RelayMessages)

BOOST_AUTO_TEST_CASE(RoundTrip)
{
    const RelayRequest request { .table = "t", .after = 7, .isSnapshot = false, .wait = 500ms };
    BOOST_TEST((*decodeRelayRequest(encode(request)) == request));
    const RelayReply reply { .version = 9,
        .age = 12ms,
        .isAfterOutage = true,
        .rows = { { .id = { .table = "t", .key = "a" }, .version = 8, .value = { { "x", 1 } } },
            { .id = { .table = "t", .key = "b" } } } };
    BOOST_TEST((*decodeRelayReply(encode(reply), "t") == reply));
}

// Guards against an instance that fails on a message of a faulty or newer instance.
BOOST_AUTO_TEST_CASE(WithInvalidFieldsAreRejected)
{
    for (const auto* text : { "", "[]", "{}", "null", R"({"version":1,"age_ms":-1,"after_outage":0,"rows":[]})",
             R"({"version":1,"age_ms":1,"after_outage":true,"rows":[{"key":1,"version":2}]})" }) {
        BOOST_TEST(!decodeRelayRequest(text).has_value(), text);
        BOOST_TEST(!decodeRelayReply(text, "t").has_value(), text);
    }
    BOOST_TEST(decodeRelayReply(R"({"version":1,"age_ms":1,"after_outage":true,"rows":[],"new":1})", "t").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
