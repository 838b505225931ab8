#include "bulrushstack/serving/origin_replicator.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

StreamOrigin stream(std::string request) { return { std::move(request), "s", "v1" }; }

std::vector<Peer> peers(unsigned count)
{
    std::vector<Peer> out;
    for (unsigned i = 0; i < count; ++i)
        out.push_back({ .instance = "front-" + std::to_string(i), .address = { .host = "h", .port = 1 } });
    return out;
}

std::set<std::string> instancesOf(const std::vector<OriginBatch>& batches)
{
    std::set<std::string> out;
    for (const auto& it : batches)
        out.insert(it.peer.instance);
    return out;
}

struct Fixture {
    ManualClock clock;
    const std::set<std::string> services { "s" };
    OriginReplicator replicator { clock, "front-0" };

    std::vector<OriginBatch> takeDue() { return replicator.takeDue(services); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicasOfTheOriginOfAStream, Fixture)

BOOST_AUTO_TEST_SUITE(WhenAStreamBegins)

BOOST_AUTO_TEST_CASE(AreTwoOtherInstances)
{
    replicator.setPeers(peers(7));
    replicator.add(stream("1"));
    const auto batches = takeDue();
    BOOST_REQUIRE(batches.size() == 2u);
    BOOST_TEST(batches[0].origins.front().request == "1");
    BOOST_TEST(instancesOf(batches).count("front-0") == 0u);
    BOOST_TEST(takeDue().empty());
}

BOOST_AUTO_TEST_CASE(AreSoughtOnlyForServicesWithSeveralVersions)
{
    replicator.setPeers(peers(7));
    replicator.add(stream("1"));
    BOOST_TEST(replicator.takeDue({ "other" }).empty());
    BOOST_TEST(takeDue().size() == 2u);
}

BOOST_AUTO_TEST_CASE(AreSoughtOnceOtherInstancesAreKnown)
{
    replicator.add(stream("1"));
    BOOST_TEST(takeDue().empty());
    replicator.setPeers(peers(2));
    BOOST_TEST(instancesOf(takeDue()) == std::set<std::string> { "front-1" });
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a stream that nobody knows when it is taken up, since the instances ask others than those that were
// told.
BOOST_AUTO_TEST_CASE(AreAskedByEachInstanceThatTakesTheStreamUp)
{
    for (int i = 0; i < 200; ++i) {
        const std::string request = std::to_string(i);
        OriginReplicator owner(clock, "front-0");
        owner.setPeers(peers(9));
        owner.add(stream(request));
        for (const auto& replica : instancesOf(owner.takeDue(services))) {
            for (unsigned n = 1; n < 9; ++n) {
                const std::string self = "front-" + std::to_string(n);
                OriginReplicator other(clock, self);
                other.setPeers(peers(9));
                const auto asked = other.peersToAsk(request);
                const bool isAsked
                    = std::any_of(asked.begin(), asked.end(), [&](const Peer& it) { return it.instance == replica; });
                BOOST_TEST((isAsked || self == replica));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE(WhenInstancesComeAndGo)

BOOST_AUTO_TEST_CASE(AreReplacedIfTheyAreLost)
{
    replicator.setPeers(peers(7));
    replicator.add(stream("1"));
    const auto first = takeDue();
    auto rest = peers(7);
    std::erase_if(rest, [&](const Peer& it) { return it == first[0].peer; });
    replicator.setPeers(rest);
    const auto second = takeDue();
    BOOST_REQUIRE(second.size() == 1u);
    BOOST_TEST(instancesOf(first).count(second[0].peer.instance) == 0u);
}

// Guards against a new instance that moves the replicas of all streams.
BOOST_AUTO_TEST_CASE(StayForMostStreamsWhenOneJoins)
{
    replicator.setPeers(peers(9));
    for (int i = 0; i < 300; ++i)
        replicator.add(stream(std::to_string(i)));
    takeDue();
    replicator.setPeers(peers(10));
    std::size_t n = 0;
    for (const auto& it : takeDue())
        n += it.origins.size();
    BOOST_TEST(n > 0u);
    BOOST_TEST(n < 120u);
}

BOOST_AUTO_TEST_CASE(AreReplacedForAWhileIfTheyDoNotAnswer)
{
    replicator.setPeers(peers(7));
    replicator.add(stream("1"));
    const auto first = takeDue();
    replicator.recordFailure(first[0]);
    const auto second = takeDue();
    BOOST_REQUIRE(second.size() == 1u);
    BOOST_TEST(instancesOf(first).count(second[0].peer.instance) == 0u);
    clock.advance(1s);
    replicator.setPeers(peers(7));
    BOOST_TEST(instancesOf(takeDue()) == std::set<std::string> { first[0].peer.instance });
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against memory that grows with each stream, and messages of any size.
BOOST_AUTO_TEST_CASE(AreBoundedInTimeAndSize)
{
    for (int i = 0; i < 1'500; ++i)
        replicator.add(stream(std::to_string(i)));
    replicator.setPeers(peers(2));
    std::size_t n = 0;
    for (auto batches = takeDue(); !batches.empty(); batches = takeDue()) {
        BOOST_TEST(batches[0].origins.size() <= 500u);
        n += batches[0].origins.size();
    }
    BOOST_TEST(n == 1'500u);
    clock.advance(61s);
    replicator.setPeers(peers(3));
    BOOST_TEST(takeDue().empty());
}

BOOST_AUTO_TEST_SUITE_END()
