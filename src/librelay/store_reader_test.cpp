#include "bulrushstack/relay/store_reader.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

RelayMember member(const std::string& name, const std::string& zone, double share)
{
    return { .instance = name, .zone = zone, .address = { .host = "10.0.0.1", .port = 1 }, .processorShare = share };
}

/// Returns the members of two availability zones; each zone has three with half a core.
std::vector<RelayMember> members(int perZone)
{
    std::vector<RelayMember> out;
    for (const std::string zone : { "a", "b" }) {
        for (int i = 0; i < perZone; ++i)
            out.push_back(member(zone + std::to_string(i), zone, i < 3 ? 0.5 : 0.12));
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreReaders)

BOOST_AUTO_TEST_CASE(AreNotChosenInASmallDeployment) { BOOST_TEST(chooseStoreReaders(members(11), "a", {}).empty()); }

// Guards against a change that is applied later than the deployment permits because a reader is cut off from the store.
BOOST_AUTO_TEST_CASE(AreNotChosenWhereTheyWouldBeTooSlow)
{
    BOOST_TEST(chooseStoreReaders(members(59), "a", { .changePeriod = std::chrono::seconds(2) }).empty());
    BOOST_TEST(!chooseStoreReaders(members(59), "a", { .changePeriod = std::chrono::seconds(3) }).empty());
}

BOOST_AUTO_TEST_SUITE(OfALargeDeployment)

// Guards against readers that are too small for the instances which depend on them.
BOOST_AUTO_TEST_CASE(AreThoseWithTheLargestShareOfTheirZone)
{
    const auto readers = chooseStoreReaders(members(59), "a", {});
    BOOST_REQUIRE(readers.size() == 3u);
    for (const auto& it : readers)
        BOOST_TEST((it.instance == "a0" || it.instance == "a1" || it.instance == "a2"), it.instance);
}

// Guards against all instances of a zone that change their reader because one instance comes or goes.
BOOST_AUTO_TEST_CASE(StayWhenOtherMembersComeAndGo)
{
    auto all = members(59);
    const auto before = chooseStoreReaders(all, "a", {});
    std::erase_if(all, [](const RelayMember& it) { return it.instance == "a30" || it.instance == "b0"; });
    BOOST_TEST((chooseStoreReaders(all, "a", {}) == before));
    std::erase_if(all, [&](const RelayMember& it) { return it.instance == before[1].instance; });
    const auto after = chooseStoreReaders(all, "a", {});
    BOOST_TEST((after[0] == before[0]));
    BOOST_TEST((std::find(after.begin(), after.end(), before[2]) != after.end()));
}

// Guards against a zone whose instances have nobody to turn to when their reader is lost.
BOOST_AUTO_TEST_CASE(AreAtLeastTwoInASmallZone)
{
    auto all = members(30);
    all.push_back(member("c0", "c", 0.12));
    all.push_back(member("c1", "c", 0.12));
    all.push_back(member("c2", "c", 0.12));
    BOOST_TEST(chooseStoreReaders(all, "c", {}).size() == 2u);
}

// Guards against choosing an instance of an earlier version, which does not say where it is reached.
BOOST_AUTO_TEST_CASE(HaveAnAddress)
{
    auto all = members(30);
    for (auto& it : all)
        it.address = {};
    BOOST_TEST(chooseStoreReaders(all, "a", {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
