#include "stream_origin_service.h"

#include "bulrushstack/kernel/run_awaitable.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// One instance with its own knowledge of the upstreams, on a shared event loop.
struct Node {
    Node(boost::asio::io_context& io, const Clock& clock, const std::string& id)
        : state(io, clock, id, "z", {})
        , client(io, clock)
        , service(state, client, id)
        , server(io, { .address = { .host = "127.0.0.1", .port = 0 } }, service)
    {
        BOOST_REQUIRE(!server.start());
        boost::asio::co_spawn(io, service.run(), boost::asio::detached);
    }

    Address address() const { return { .host = "127.0.0.1", .port = server.port() }; }

    FrontState state;
    HttpClient client;
    StreamOriginService service;
    HttpServer server;
};

struct Fixture {
    boost::asio::io_context context;
    SystemClock clock;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Peer> peers;

    Fixture()
    {
        for (int i = 0; i < 5; ++i) {
            const std::string id = "front-" + std::to_string(i);
            nodes.push_back(std::make_unique<Node>(context, clock, id));
            peers.push_back({ .instance = id, .address = nodes.back()->address() });
        }
    }

    ~Fixture()
    {
        for (auto& it : nodes)
            it->service.stop();
        runFor(300ms);
    }

    void runFor(std::chrono::milliseconds duration)
    {
        context.restart();
        context.run_for(duration);
    }

    void tellPeers()
    {
        for (auto& it : nodes)
            it->service.setPeers(peers);
    }

    void addUpstreams(const std::vector<std::string>& versions)
    {
        for (auto& it : nodes) {
            for (const auto& version : versions)
                it->state.directory().apply({ .id = version, .service = "s", .softwareVersion = version });
        }
    }

    void lose(std::size_t i) { runAwaitable(context, nodes[i]->server.drain()); }

    OriginLookup lookUp(Node& node, const std::string& request)
    {
        const OriginRequest question { .request = request, .service = "s" };
        return runAwaitable(context, node.service.findOrigin(question, clock.now() + 5s));
    }

    OriginReply find(Node& node, const std::string& request) { return lookUp(node, request).reply; }
};

const StreamOrigin origin {
    .request = "7", .service = "s", .softwareVersion = "v2", .upstream = "u", .startedAt = 1'700'000'000'000
};

bool isSameStream(StreamOrigin a, StreamOrigin b)
{
    a.age = b.age;
    return a == b;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheOriginOfAStream, Fixture)

BOOST_AUTO_TEST_SUITE(WithSeveralVersions)

// Guards against streams that cannot be taken up elsewhere after the loss of their instance.
BOOST_AUTO_TEST_CASE(IsFoundByEachInstanceAfterTheLossOfItsOwn)
{
    addUpstreams({ "v1", "v2" });
    tellPeers();
    nodes[0]->service.recordOrigin(origin);
    runFor(500ms);
    lose(0);
    for (std::size_t i = 1; i < nodes.size(); ++i) {
        const auto reply = find(*nodes[i], "7");
        BOOST_REQUIRE(reply.origin);
        BOOST_TEST(isSameStream(*reply.origin, origin));
        BOOST_TEST(reply.origin->age.count() >= 500);
    }
}

BOOST_AUTO_TEST_CASE(IsFoundAlsoIfItBeganBeforeTheInstancesKnewEachOther)
{
    addUpstreams({ "v1", "v2" });
    nodes[0]->service.recordOrigin(origin);
    runFor(100ms);
    tellPeers();
    runFor(500ms);
    lose(0);
    BOOST_TEST(find(*nodes[1], "7").origin.has_value());
}

BOOST_AUTO_TEST_CASE(IsFoundIfOneOfTheInstancesThatRememberItDoesNotAnswer)
{
    RawServer silent(context, {});
    addUpstreams({ "v1", "v2" });
    for (std::size_t i = 1; i < peers.size(); ++i) {
        const auto address = std::exchange(peers[i].address, silent.address());
        tellPeers();
        nodes[0]->service.recordOrigin(origin);
        runFor(1000ms);
        peers[i].address = address;
    }
    lose(0);
    for (std::size_t i = 1; i < nodes.size(); ++i)
        BOOST_TEST(find(*nodes[i], "7").origin.has_value());
}

BOOST_AUTO_TEST_CASE(IsUnknownForOtherRequests)
{
    addUpstreams({ "v1", "v2" });
    tellPeers();
    const auto reply = find(*nodes[1], "8");
    BOOST_TEST(!reply.origin);
    BOOST_TEST(reply.isVersionAmbiguous);
}

// Guards against the origin of another stream, in a late second copy of a response.
BOOST_AUTO_TEST_CASE(IsNotTakenFromAResponseToAnotherRequest)
{
    const std::string body = R"({"isVersionAmbiguous":true,"origin":["6","s","v1","u",1,0]})";
    RawServer faulty(
        context, { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body });
    nodes[1]->service.setPeers({ { .instance = "front-9", .address = faulty.address() } });
    BOOST_TEST(!find(*nodes[1], "7").origin);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithOneVersion)

BOOST_AUTO_TEST_CASE(IsNotSentToOtherInstances)
{
    addUpstreams({ "v2" });
    tellPeers();
    nodes[0]->service.recordOrigin(origin);
    runFor(500ms);
    lose(0);
    const auto reply = find(*nodes[1], "7");
    BOOST_TEST(!reply.origin);
    BOOST_TEST(!reply.isVersionAmbiguous);
}

// Guards against an instance that is cut off and has not heard of another version.
BOOST_AUTO_TEST_CASE(IsNotConfirmedIfNoOtherInstanceAnswers)
{
    addUpstreams({ "v2" });
    BOOST_TEST(!lookUp(*nodes[0], "7").isPeerReached);
    tellPeers();
    BOOST_TEST(lookUp(*nodes[0], "7").isPeerReached);
    for (std::size_t i = 1; i < nodes.size(); ++i)
        lose(i);
    BOOST_TEST(!lookUp(*nodes[0], "7").isPeerReached);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
