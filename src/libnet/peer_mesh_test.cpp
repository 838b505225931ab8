#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/peer_mesh.h"
#include "loopback.h"
#include "peer_envelope.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct PeerMeshFixture {
    static PeerMeshOptions optionsFor(std::string id, const ReservedAddress& reserved, std::vector<std::string> keys)
    {
        return {
            .address = reserved.address(), .instanceId = std::move(id), .incarnation = 7, .keys = std::move(keys)
        };
    }

    void startMeshes(std::vector<std::string> keysOfA, std::vector<std::string> keysOfB)
    {
        auto optionsA = optionsFor("a", reservedA, std::move(keysOfA));
        auto optionsB = optionsFor("b", reservedB, std::move(keysOfB));
        a = std::make_unique<PeerMesh>(context, clock, optionsA);
        b = std::make_unique<PeerMesh>(context, clock, optionsB);
        b->handle("add", [](const nlohmann::json& request) {
            return nlohmann::json { { "sum", request.at("x").get<int>() + 1 }, { "caller", request.at("from") } };
        });
        BOOST_REQUIRE(!a->start());
        BOOST_REQUIRE(!b->start());
    }

    Result<nlohmann::json> sendRequest(nlohmann::json message, std::chrono::nanoseconds timeout = 5s)
    {
        return runAwaitable(context, a->request(addressB, std::move(message), timeout));
    }

    boost::asio::io_context context;
    SystemClock clock;
    ReservedAddress reservedA { context };
    ReservedAddress reservedB { context };
    Address addressB = reservedB.address();
    std::unique_ptr<PeerMesh> a;
    std::unique_ptr<PeerMesh> b;
};

/// Sends one request after the other until one fails, and then counts itself as ended.
boost::asio::awaitable<void> sendUntilFailure(PeerMesh& from, Address to, int& ended)
{
    nlohmann::json message = nlohmann::json::object();
    message["type"] = "add";
    message["x"] = 1;
    for (bool isServed = true; isServed;) {
        auto reply = co_await from.request(to, message, 1s);
        isServed = reply.has_value();
    }
    ++ended;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Peers)

BOOST_FIXTURE_TEST_SUITE(Messages, PeerMeshFixture)

// Guards against tests that fail now and then because a socket of another process, such as a connection of a test that
// runs beside this one, took the port between its choice and the start of the mesh.
BOOST_AUTO_TEST_CASE(ReservedPortIsLeftToTheMesh)
{
    boost::asio::ip::tcp::socket other(context, boost::asio::ip::tcp::v4());
    boost::system::error_code ec;
    other.bind({ boost::asio::ip::make_address("127.0.0.1"), reservedA.address().port }, ec);
    BOOST_TEST((ec == boost::asio::error::address_in_use));
    startMeshes({ "k" }, { "k" });
    BOOST_TEST(sendRequest({ { "type", "add" }, { "x", 1 } }).has_value());
}

BOOST_AUTO_TEST_CASE(HandlerReceivesTheSenderId)
{
    startMeshes({ "k" }, { "k" });
    auto reply = sendRequest({ { "type", "add" }, { "x", 1 } });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->at("sum") == 2);
    BOOST_TEST(reply->at("caller") == "a");
    BOOST_TEST(reply->at("from") == "b");
}

BOOST_AUTO_TEST_CASE(UnknownTypeOrMalformedRequestGetsAnError)
{
    startMeshes({ "k" }, { "k" });
    BOOST_TEST(sendRequest({ { "type", "subtract" } })->at("error") == "unknown type");
    BOOST_TEST(sendRequest({ { "type", "add" }, { "x", "one" } })->at("error") == "malformed request");
    BOOST_TEST(b->counters().rejectedMalformed == 1u);
}

// Guards against accepting messages of an instance that does not know the shared key.
BOOST_AUTO_TEST_CASE(MessageSignedWithAnotherKeyIsDropped)
{
    startMeshes({ "k" }, { "other" });
    auto reply = sendRequest({ { "type", "add" }, { "x", 1 } });
    BOOST_REQUIRE(reply.has_error());
    BOOST_TEST((reply.error().code == Errc::Unauthenticated));
    BOOST_TEST(b->counters().rejectedUnauthenticated == 1u);
}

// Guards against a request that waits beyond its timeout for a peer that accepts connections and stays silent.
BOOST_AUTO_TEST_CASE(SilentPeerTimesOut)
{
    startMeshes({ "k" }, { "k" });
    boost::asio::ip::tcp::acceptor silent(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    addressB.port = silent.local_endpoint().port();
    auto reply = sendRequest({ { "type", "add" }, { "x", 1 } }, 100ms);
    BOOST_REQUIRE(reply.has_error());
    BOOST_TEST((reply.error().code == Errc::Timeout));
}

// Guards against a peer that stays unreachable after its restart because of connections to the earlier process.
BOOST_AUTO_TEST_CASE(RestartedPeerIsReachedByTheNextRequest)
{
    startMeshes({ "k" }, { "k" });
    BOOST_REQUIRE(sendRequest({ { "type", "add" }, { "x", 1 } }));
    runAwaitable(context, b->stop());
    BOOST_TEST(sendRequest({ { "type", "add" }, { "x", 1 } }).has_error());
    PeerMeshOptions options { .address = addressB, .instanceId = "b", .incarnation = 8, .keys = { "k" } };
    b = std::make_unique<PeerMesh>(context, clock, options);
    BOOST_REQUIRE(!b->start());
    BOOST_TEST(sendRequest({ { "type", "subtract" } })->at("error") == "unknown type");
}

// Guards against a process whose messages are ignored until its clock has caught up with that of its predecessor: the
// wall clock, from which the incarnation is read, was set back between the two starts.
BOOST_AUTO_TEST_CASE(ProcessStartedAfterTheClockWasSetBackIsHeard)
{
    startMeshes({ "k" }, { "k" });
    BOOST_REQUIRE(sendRequest({ { "type", "add" }, { "x", 1 } }));
    auto options = optionsFor("a", reservedA, { "k" });
    options.incarnation = 3;
    a = std::make_unique<PeerMesh>(context, clock, options);
    BOOST_REQUIRE(!a->start());
    auto reply = sendRequest({ { "type", "add" }, { "x", 1 } });
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->at("sum") == 2);
    BOOST_TEST(a->incarnation() == 8u);
}

// Guards against a shutdown that never ends when it comes while requests are on their way in both directions.
BOOST_AUTO_TEST_CASE(StopsWhileRequestsAreInFlight)
{
    static constexpr int roundCount = 100;
    for (int round = 0; round < roundCount; ++round) {
        startMeshes({ "k" }, { "k" });
        int ended = 0;
        for (int i = 0; i < 4; ++i) {
            boost::asio::co_spawn(context, sendUntilFailure(*a, addressB, ended), boost::asio::detached);
        }
        context.restart();
        context.run_for(std::chrono::microseconds(100 * round));
        context.restart();
        runAwaitable(context, b->stop());
        runAwaitable(context, a->stop());
        context.restart();
        while (ended < 4 && context.run_one_for(5s) > 0) { }
        BOOST_REQUIRE(ended == 4);
    }
}

// Guards against a key rotation during which instances reject each other's messages.
BOOST_AUTO_TEST_CASE(EitherKeyIsAcceptedDuringRotation)
{
    startMeshes({ "old", "new" }, { "new", "old" });
    BOOST_TEST(sendRequest({ { "type", "add" }, { "x", 1 } })->at("sum") == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Envelope)

const std::vector<std::string> keys { "k" };

BOOST_AUTO_TEST_CASE(EncodingRoundTrips)
{
    const PeerEnvelope envelope {
        .from = "a", .incarnation = 2, .sequence = 3, .to = "x:1", .tag = "t", .body = { { "type", "q" } }
    };
    BOOST_TEST((*decodeSignedEnvelope(encodeSignedEnvelope(envelope, "k"), keys, 1000) == envelope));
}

BOOST_AUTO_TEST_CASE(RejectsModifiedTruncatedAndOversizedMessages)
{
    auto signedMessage = encodeSignedEnvelope({ .from = "a", .body = nlohmann::json::object() }, "k");
    BOOST_TEST((decodeSignedEnvelope(signedMessage, keys, 10).error().code == Errc::TooLarge));
    BOOST_TEST((decodeSignedEnvelope("short", keys, 1000).error().code == Errc::Malformed));
    signedMessage.back() = static_cast<char>(signedMessage.back() ^ 1);
    BOOST_TEST((decodeSignedEnvelope(signedMessage, keys, 1000).error().code == Errc::Unauthenticated));
}

BOOST_AUTO_TEST_CASE(RejectsSignedMessagesWithInvalidContent)
{
    PeerEnvelope wrongBody { .from = "a", .body = nlohmann::json::array() };
    BOOST_TEST(
        (decodeSignedEnvelope(encodeSignedEnvelope(wrongBody, "k"), keys, 1000).error().code == Errc::Malformed));
}

// Guards against an exception that leaves the decoder: of a message that announces an array which can't be allocated.
BOOST_AUTO_TEST_CASE(RejectsSignedMessagesThatAreNoCbor)
{
    const std::string excessiveArray(9, '\x9b');
    for (const std::string& payload : { std::string("not cbor at all"), excessiveArray })
        BOOST_TEST(
            (decodeSignedEnvelope(hmacSha256("k", payload) + payload, keys, 1000).error().code == Errc::Malformed));
}

// Guards against replay attacks with a recorded message.
BOOST_AUTO_TEST_CASE(ReplayedSequenceNumbersAreRefused)
{
    ReplayGuard guard;
    BOOST_TEST(guard.accept("a", 1, 5));
    BOOST_TEST(!guard.accept("a", 1, 5));
    BOOST_TEST(guard.accept("a", 1, 4));
    BOOST_TEST(!guard.accept("a", 1, 4));
    BOOST_TEST(guard.accept("a", 1, 200));
    BOOST_TEST(!guard.accept("a", 1, 100));
    BOOST_TEST(guard.accept("b", 1, 5));
    BOOST_TEST(guard.accept("a", 2, 1));
    BOOST_TEST(!guard.accept("a", 1, 201));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
