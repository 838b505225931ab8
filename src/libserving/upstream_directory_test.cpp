#include "bulrushstack/serving/upstream_directory.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

UpstreamEntry entry(std::string id, bool isDraining = false)
{
    return { .id = std::move(id), .service = "s", .isDraining = isDraining };
}

struct Fixture {
    ManualClock clock;
    ServingDirectory directory { clock };

    Fixture() { directory.replaceAll({ entry("a"), entry("b"), entry("c"), entry("d") }); }

    std::size_t usable() const { return directory.usable("s").size(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ADirectory, Fixture)

BOOST_AUTO_TEST_CASE(DropsARemovedEntryAtOnce)
{
    directory.remove({ "a" });
    BOOST_TEST(usable() == 3u);
}

BOOST_AUTO_TEST_CASE(GivesNothingToADrainingUpstream)
{
    directory.apply(entry("a", true));
    BOOST_TEST(usable() == 3u);
    BOOST_TEST(directory.find("a") != nullptr);
}

BOOST_AUTO_TEST_SUITE(WhenTheStoreWasAway)

// Guards against a service without upstreams after an outage in which the registrations lapsed.
BOOST_AUTO_TEST_CASE(UsesLapsedEntriesUntilTwoSecondsAfterItsReturn)
{
    directory.noteStoreLost();
    clock.advance(10s);
    directory.noteStoreRegained();
    directory.replaceAll({});
    BOOST_TEST(usable() == 4u);
    clock.advance(1s);
    directory.apply(entry("a"));
    clock.advance(999ms);
    BOOST_TEST(directory.expire().empty());
    clock.advance(1ms);
    BOOST_TEST(directory.expire().size() == 3u);
    BOOST_TEST(usable() == 1u);
}

BOOST_AUTO_TEST_CASE(DropsAnEntryThatWasDrainingAtOnce)
{
    directory.apply(entry("a", true));
    directory.noteStoreLost();
    directory.noteStoreRegained();
    directory.replaceAll({});
    BOOST_TEST(directory.find("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(DropsAtOnceAgainAfterTheGrace)
{
    directory.noteStoreLost();
    directory.noteStoreRegained();
    clock.advance(2s);
    directory.remove({ "a" });
    BOOST_TEST(usable() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an outage too short for the feed to notice.
BOOST_AUTO_TEST_CASE(UsesEntriesThatVanishTogetherForAMoment)
{
    directory.remove({ "a", "b", "c" });
    BOOST_TEST(usable() == 4u);
    clock.advance(1500ms);
    BOOST_TEST(directory.expire().size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()
