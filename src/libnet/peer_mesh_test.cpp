#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/peer_mesh.h"
#include "loopback.h"
#include "peer_envelope.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct PeerMeshFixture {
    PeerMeshOptions optionsFor(std::string id, std::vector<std::string> keys)
    {
        return {
            .address = freeAddress(context), .instanceId = std::move(id), .incarnation = 7, .keys = std::move(keys)
        };
    }

    void startMeshes(std::vector<std::string> keysOfA, std::vector<std::string> keysOfB)
    {
        auto optionsA = optionsFor("a", std::move(keysOfA));
        auto optionsB = optionsFor("b", std::move(keysOfB));
        addressB = optionsB.address;
        a = std::make_unique<PeerMesh>(context, optionsA);
        b = std::make_unique<PeerMesh>(context, optionsB);
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
    std::unique_ptr<PeerMesh> a;
    std::unique_ptr<PeerMesh> b;
    Address addressB;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Peers)

BOOST_FIXTURE_TEST_SUITE(Messages, PeerMeshFixture)

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
    auto reply = sendRequest({ { "type", "add" }, { "x", 1 } }, 100ms);
    BOOST_REQUIRE(reply.has_error());
    BOOST_TEST((reply.error().code == Errc::Timeout));
    BOOST_TEST(b->counters().rejectedUnauthenticated == 1u);
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
    const std::string payload = "not cbor at all";
    PeerEnvelope wrongBody { .from = "a", .body = nlohmann::json::array() };
    BOOST_TEST(
        (decodeSignedEnvelope(encodeSignedEnvelope(wrongBody, "k"), keys, 1000).error().code == Errc::Malformed));
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
