#include "test_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Client)

BOOST_FIXTURE_TEST_SUITE(Streams, ServerFixture)

BOOST_AUTO_TEST_CASE(DeliverPartsAndAMarkedEnd)
{
    HttpRequest request;
    request.target = "/stream";
    auto stream = runAwaitable(context, client.open(address, request));
    BOOST_REQUIRE(stream);
    BOOST_TEST(runAwaitable(context, (*stream)->readAll()).value() == "one two three");
}

// Guards against a cut connection that passes for the end of the answer.
BOOST_AUTO_TEST_CASE(CutBeforeTheEndAreFailures)
{
    auto response = call("GET", "/cut");
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().code == Errc::ConnectionClosed));
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Verdicts, ServerFixture)

BOOST_AUTO_TEST_CASE(RefusedConnectionDidNotRun)
{
    runAwaitable(context, server.drain());
    auto response = call("POST", "/echo", "x");
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(SilenceAfterTheRequestMayHaveRun)
{
    auto response = call("GET", "/slow", {}, { .progressTimeout = 20ms });
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().code == Errc::Timeout));
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(handler.requests() == 1);
}

BOOST_AUTO_TEST_CASE(PassedDeadlineSendsNothing)
{
    auto response = call("GET", "/echo", {}, { .deadline = clock.now() - 1ms });
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().verdict == Verdict::NotRun));
    BOOST_TEST(handler.requests() == 0);
}

BOOST_AUTO_TEST_CASE(OversizedResponseIsAFailure)
{
    auto response = call("POST", "/echo", std::string(100, 'x'), { .bodyLimit = 10 });
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().code == Errc::TooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
