#include "heartbeat.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace bulrushstack;

namespace {

std::vector<PeerView> peerViews(int n)
{
    std::vector<PeerView> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        out.push_back({ .record = { .id = "i" + std::to_string(i), .peerPort = 1 } });
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Heartbeats)

BOOST_AUTO_TEST_CASE(RoundTripThroughJson)
{
    const Heartbeat heartbeat { .from = "a",
        .incarnation = 3,
        .zone = "z",
        .state = InstanceState::Leaving,
        .revision = 9,
        .digest = "d",
        .leaving = { { "e", 4 } } };
    auto message = toJson(heartbeat);
    message["from"] = "a";
    message["incarnation"] = 3;
    BOOST_TEST((parseHeartbeat(message) == heartbeat));
}

// Guards against an instance that fails on a message of a faulty peer, or rejects the unknown fields of a newer one.
BOOST_AUTO_TEST_CASE(WithInvalidFieldsAreRejected)
{
    auto message = toJson({ .from = "a" });
    message["from"] = "a";
    message["incarnation"] = 1;
    for (const auto* field : { "state", "revision", "zone", "digest", "from", "leaving" }) {
        auto wrong = message;
        wrong[field] = 1.5;
        if (std::string_view(field) != "revision")
            BOOST_TEST(!parseHeartbeat(wrong).has_value(), field);
    }
    BOOST_TEST(!parseHeartbeat(nlohmann::json::array()).has_value());
    message["future"] = 1;
    BOOST_TEST(parseHeartbeat(message).has_value());
}

// Guards against an instance that does not notice that others take it for its predecessor, which has left.
BOOST_AUTO_TEST_CASE(NameTheLeavingIncarnationOfTheReceiver)
{
    const Heartbeat heartbeat { .from = "b", .leaving = { { "a", 4 }, { "c", 9 }, { "a", 6 } } };
    BOOST_TEST(ownLeavingIncarnation(heartbeat, "a").value() == 6u);
    BOOST_TEST(!ownLeavingIncarnation(heartbeat, "b").has_value());
}

BOOST_AUTO_TEST_CASE(GoToAllPeersOfASmallDeployment)
{
    BOOST_TEST(selectHeartbeatPeers(peerViews(9), "i0").size() == 8u);
}

// Guards against control traffic that grows with the deployment, and against instances that receive no heartbeats.
BOOST_AUTO_TEST_CASE(GoToAFixedNumberOfPeersInALargeDeploymentAndReachAll)
{
    const auto peers = peerViews(390);
    std::set<std::string> reached;
    for (const auto& it : peers) {
        const auto selected = selectHeartbeatPeers(peers, it.record.id);
        BOOST_TEST(selected.size() == 8u);
        for (const auto& peer : selected)
            reached.insert(peer.record.id);
    }
    BOOST_TEST(reached.size() == 390u);
}

BOOST_AUTO_TEST_SUITE_END()
