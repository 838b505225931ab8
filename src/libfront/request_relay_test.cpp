#include "front_test_support.h"

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const std::string refusal = rawResponse("503 Unavailable", std::string(relayRefusedHeader) + ": cut-off\r\n", "");
const std::string firstEvent = "id: 1\ndata: a\n\n";

struct Fixture : FrontFixture {
    std::vector<std::unique_ptr<RawServer>> instances;

    Fixture()
    {
        state.reachability().recordConnectFailure("u8");
        state.reachability().recordConnectFailure("u9");
    }

    RawServer& addInstance(std::vector<std::string> responses)
    {
        instances.push_back(std::make_unique<RawServer>(context, std::move(responses), true));
        peers.list.push_back(
            { .instance = "front-" + std::to_string(peers.list.size() + 2), .address = instances.back()->address() });
        return *instances.back();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARequestAtAnInstanceThatIsCutOff, Fixture)

BOOST_AUTO_TEST_CASE(IsServedByAnotherInstance)
{
    addUpstream({});
    addInstance({ okResponse });
    BOOST_TEST(call("/once/x")->body == "whole");
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

BOOST_AUTO_TEST_CASE(IsOfferedToTheNextOneIfOneRefuses)
{
    addInstance({ refusal });
    addInstance({ refusal });
    addInstance({ okResponse });
    BOOST_TEST(call("/once/x")->body == "whole");
}

// Guards against requests that wait for other instances although all are cut off.
BOOST_AUTO_TEST_CASE(IsServedHereAtOnceIfAllRefuse)
{
    addUpstream({ okResponse });
    addInstance({ refusal });
    const auto begin = clock.now();
    BOOST_TEST(call("/once/x")->body == "whole");
    BOOST_TEST((clock.now() - begin < 90ms));
}

// Guards against a promise that a request has not run which another instance may have run.
BOOST_AUTO_TEST_CASE(MayHaveRunIfTheOtherInstanceIsLost)
{
    auto& upstream = addUpstream({ okResponse });
    addInstance({ "" });
    BOOST_TEST(call("/once/x")->status == 502u);
    BOOST_TEST(upstream.connections() == 0u);
}

// Guards against the response to an earlier attempt that is taken for the one to a request which came back.
BOOST_AUTO_TEST_CASE(GoesOverANewConnectionWhenItComesBack)
{
    const auto refused = rawResponse("503 Busy", "X-Id: 7\r\n", "");
    RawServer other(context, { refused, okResponseTo8, okResponse });
    peers.list.push_back({ .instance = "front-2", .address = other.address() });
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(call("/once/x", "8")->status == 200u);
    BOOST_TEST(other.connections() == 1u);
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(other.connections() == 2u);
}

// Guards against a response to another request, and one that no upstream has made.
BOOST_AUTO_TEST_CASE(GetsOnlyTheResponseOfAnUpstreamToItself)
{
    addInstance({ rawResponse("200 OK", "X-Id: 6\r\nX-Seal: s\r\n", "other") });
    BOOST_TEST(call("/once/x")->status == 502u);
    peers.list.clear();
    addInstance({ rawResponse("200 OK", "X-Id: 7\r\n", "unsealed") });
    BOOST_TEST(call("/once/x")->status == 502u);
}

// Guards against a stream that looks complete though the other instance was lost.
BOOST_AUTO_TEST_CASE(GetsATruncatedStreamIfTheOtherInstanceIsLost)
{
    addInstance({ streamResponseHead + chunk(firstEvent) });
    BOOST_TEST(call("/events/x").has_error());
    peers.list.clear();
    addInstance({ streamResponseHead + chunk(firstEvent + "id: 2\nda") + "0\r\n\r\n" });
    BOOST_TEST(call("/events/x").has_error());
}

// Guards against a second run at another instance because of a field in the response of an upstream.
BOOST_AUTO_TEST_CASE(IsServedWhateverFieldsItsUpstreamSends)
{
    const auto fields = "X-Id: 7\r\nX-Seal: s\r\n" + std::string(relayRefusedHeader) + ": cut-off\r\n";
    addInstance({ rawResponse("200 OK", fields, "whole") });
    BOOST_TEST(call("/once/x")->body == "whole");
}

BOOST_AUTO_TEST_CASE(GetsTheWholeStream)
{
    addInstance({ streamResponseHead + chunk(firstEvent) + "0\r\n\r\n" });
    BOOST_TEST(call("/events/x")->body == firstEvent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ARequestThatAnotherInstanceHandedOn, FrontFixture)

// Guards against the promise that a request has not run which an upstream of the other instance may have run.
BOOST_AUTO_TEST_CASE(IsNotRefusedIfItMayHaveRunThere)
{
    RelayedRequestHandler handler(dependencies());
    HttpServer control(context, { .address = { .host = "127.0.0.1", .port = 0 } }, handler);
    BOOST_REQUIRE(!control.start());
    const ServingRequest sent { .host = "host" };
    const auto suspects = suspectsOf(sent, requestDigest(sent, "/read/x", ""));
    state.recordCrash("u1", 1, suspects);
    state.recordCrash("u1", 2, suspects);
    for (const auto& [attempts, status] : { std::pair("0", 503u), std::pair("1", 502u) }) {
        HttpRequest request { .method = "POST", .target = "/read/x" };
        request.headers.set("X-Id", "7");
        request.headers.set(relayedAttemptsHeader, attempts);
        request.headers.set(relayedConfigurationHeader, "1");
        const Address address { .host = "127.0.0.1", .port = control.port() };
        const auto response = runAwaitable(context, client.call(address, std::move(request)));
        BOOST_REQUIRE(response);
        BOOST_TEST(response->status == status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
