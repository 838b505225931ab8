#include "bulrushstack/serving/upstream_directory.h"

#include <algorithm>
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
    UpstreamDirectory directory { clock };

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

BOOST_AUTO_TEST_CASE(SendsNothingToADrainingUpstream)
{
    directory.apply(entry("a", true));
    BOOST_TEST(usable() == 3u);
    BOOST_TEST(directory.find("a") != nullptr);
}

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamAnnouncesThatItIsLeaving)

// Guards against requests to an upstream that announced its shutdown in a response.
BOOST_AUTO_TEST_CASE(SendsItNothingNewEvenDuringAStoreOutage)
{
    directory.recordStoreLost();
    BOOST_TEST(directory.recordLeaving("a", 0));
    BOOST_TEST(usable() == 3u);
    BOOST_TEST(directory.isLeaving(*directory.find("a")));
    BOOST_TEST(!directory.recordLeaving("a", 0));
}

// Guards against an outdated row, or a row that disappears and comes back, that overrides the announcement of the
// upstream.
BOOST_AUTO_TEST_CASE(KeepsTheAnnouncementWhenAStaleRowSaysReady)
{
    directory.recordLeaving("a", 0);
    directory.apply(entry("a"));
    BOOST_TEST(usable() == 3u);
    directory.remove({ "a" });
    directory.takeEndedPauses();
    directory.apply(entry("a"));
    BOOST_TEST(usable() == 3u);
}

// Guards against an upstream that restarts under the same id and is never used again.
BOOST_AUTO_TEST_CASE(UsesItAgainAfterARestart)
{
    directory.recordLeaving("a", 0);
    auto restarted = entry("a");
    restarted.startedAt = 7;
    directory.apply(restarted);
    BOOST_TEST(usable() == 4u);
    BOOST_TEST(!directory.recordLeaving("a", 0)); // A late response of the previous process.
    BOOST_TEST(usable() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamAsksForAPause)

// Guards against requests to an upstream that asked for a pause.
BOOST_AUTO_TEST_CASE(SendsItNothingUntilThePauseEnds)
{
    BOOST_TEST(directory.recordPause("a", 0, 2s));
    BOOST_TEST(usable() == 3u);
    BOOST_TEST(directory.suspended("s").size() == 1u);
    clock.advance(1999ms);
    BOOST_TEST(usable() == 3u);
    BOOST_TEST(directory.takeEndedPauses().empty());
    clock.advance(1ms);
    BOOST_TEST(usable() == 4u);
    BOOST_TEST(directory.takeEndedPauses().size() == 1u);
    BOOST_TEST(directory.takeEndedPauses().empty());
}

BOOST_AUTO_TEST_CASE(IsCountedWhileItPauses)
{
    directory.recordPause("a", 0, 2s);
    directory.recordLeaving("b", 0);
    BOOST_CHECK(
        (directory.countAnnouncements() == UpstreamDirectory::AnnouncementCounts { .leaving = 1, .pausing = 1 }));
    clock.advance(2s);
    BOOST_CHECK(
        (directory.countAnnouncements() == UpstreamDirectory::AnnouncementCounts { .leaving = 1, .pausing = 0 }));
}

BOOST_AUTO_TEST_CASE(KeepsTheLongerOfTwoPauses)
{
    directory.recordPause("a", 0, 3s);
    BOOST_TEST(!directory.recordPause("a", 0, 1s));
    clock.advance(2s);
    BOOST_TEST(usable() == 3u);
}

BOOST_AUTO_TEST_CASE(BoundsThePause)
{
    directory.recordPause("a", 0, 24h);
    clock.advance(UpstreamDirectory::maxPause);
    BOOST_TEST(usable() == 4u);
}

BOOST_AUTO_TEST_CASE(EndsThePauseWhenTheProcessIsReplaced)
{
    directory.recordPause("a", 0, 30s);
    auto restarted = entry("a");
    restarted.startedAt = 7;
    directory.apply(restarted);
    BOOST_TEST(usable() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnUpstreamStatesARateLimit)

BOOST_AUTO_TEST_CASE(KnowsItUntilALaterResponseStatesNone)
{
    BOOST_TEST(directory.recordRateLimit("a", 0, 1.5, clock.now()));
    BOOST_TEST(!directory.recordRateLimit("a", 0, 1.5, clock.now()));
    BOOST_TEST(directory.recordRateLimit("a", 0, 2.0, clock.now()));
    BOOST_TEST(directory.rateLimit("a")->requestsPerSecond == 2.0);
    BOOST_TEST(directory.countAnnouncements().limited == 1u);
    clock.advance(1ms);
    BOOST_TEST(directory.recordRateLimit("a", 0, {}, clock.now()));
    BOOST_TEST(!directory.rateLimit("a").has_value());
}

// Guards against a limit that is forgotten because a response to an earlier request arrives late.
BOOST_AUTO_TEST_CASE(KeepsItAfterAResponseToAnEarlierRequest)
{
    const auto sentAt = clock.now();
    clock.advance(10ms);
    directory.recordRateLimit("a", 0, 1.5, clock.now());
    BOOST_TEST(!directory.recordRateLimit("a", 0, {}, sentAt));
    BOOST_TEST(directory.rateLimit("a").has_value());
}

BOOST_AUTO_TEST_CASE(KeepsItWhilePausesEndAndRowsChange)
{
    directory.recordRateLimit("a", 0, 1.5, clock.now());
    directory.takeEndedPauses();
    auto changed = entry("a");
    changed.slots = 9;
    directory.apply(changed);
    BOOST_TEST(directory.rateLimit("a").has_value());
}

// Guards against requests without a permit, and against an upstream that is not used again.
BOOST_AUTO_TEST_CASE(SendsItNothingWhileThereIsNoPermit)
{
    directory.recordNoPermit("a", 0, 1s);
    BOOST_TEST(usable() == 4u);
    directory.recordRateLimit("a", 0, 1.5, clock.now());
    directory.recordNoPermit("a", 0, 1s);
    BOOST_TEST(usable() == 3u);
    BOOST_TEST(directory.suspended("s").size() == 1u);
    clock.advance(1s);
    BOOST_TEST(usable() == 4u);
    directory.recordNoPermit("a", 0, 1s);
    clock.advance(1ms);
    directory.recordRateLimit("a", 0, {}, clock.now());
    BOOST_TEST(usable() == 4u);
}

BOOST_AUTO_TEST_CASE(ForgetsItWhenTheProcessIsReplaced)
{
    directory.recordRateLimit("a", 0, 1.5, clock.now());
    auto restarted = entry("a");
    restarted.startedAt = 7;
    directory.apply(restarted);
    BOOST_TEST(!directory.rateLimit("a").has_value());
    BOOST_TEST(!directory.recordRateLimit("a", 0, 1.5, clock.now())); // A late response of the previous process.
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterAStoreOutage)

// Guards against a service without usable upstreams after an outage in which all registrations expired.
BOOST_AUTO_TEST_CASE(UsesLapsedEntriesUntilTwoSecondsAfterRecovery)
{
    directory.recordStoreLost();
    clock.advance(10s);
    directory.recordStoreRegained();
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
    directory.recordStoreLost();
    directory.recordStoreRegained();
    directory.replaceAll({});
    BOOST_TEST(directory.find("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(DropsAtOnceAgainAfterTheGrace)
{
    directory.recordStoreLost();
    directory.recordStoreRegained();
    clock.advance(2s);
    directory.remove({ "a" });
    BOOST_TEST(usable() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a stream of a version that has just left, which another version would continue.
BOOST_AUTO_TEST_CASE(KnowsTheSoftwareVersionsOfTheLastMinute)
{
    auto upstream = entry("a");
    upstream.softwareVersion = "v1";
    directory.replaceAll({ upstream });
    upstream.softwareVersion = "v2";
    upstream.startedAt = 7;
    directory.apply(upstream);
    BOOST_TEST(directory.servicesWithSeveralVersions() == std::set<std::string> { "s" });
    clock.advance(61s);
    directory.expire();
    BOOST_TEST(directory.servicesWithSeveralVersions().empty());
    directory.remove({ "a" });
    upstream.id = "b";
    upstream.softwareVersion = "v3";
    directory.apply(upstream);
    BOOST_TEST(directory.servicesWithSeveralVersions() == std::set<std::string> { "s" });
}

BOOST_AUTO_TEST_SUITE(AfterTheStoreIsRestoredFromACopy)

UpstreamEntry process(std::string id, std::uint64_t startedAt, bool isDraining = false)
{
    return { .id = std::move(id), .service = "s", .isDraining = isDraining, .startedAt = startedAt };
}

// Guards against requests to an upstream whose copied row is older than the announcement that it leaves.
BOOST_AUTO_TEST_CASE(SendsNothingToAnUpstreamThatWasDraining)
{
    directory.apply(process("a", 5));
    directory.apply(process("a", 5, true));
    directory.replaceAllFromCopy({ process("a", 5), entry("b") });
    BOOST_TEST(directory.isLeaving(*directory.find("a")));
    directory.apply(process("a", 6));
    BOOST_TEST(!directory.isLeaving(*directory.find("a")));
}

// Guards against requests to an upstream that is gone, and against one that is never used again.
BOOST_AUTO_TEST_CASE(HoldsBackAnUpstreamThatHadBeenRemoved)
{
    directory.apply(process("a", 5));
    directory.remove({ "a" });
    directory.replaceAllFromCopy({ process("a", 5), entry("b") });
    const auto isUsed = [this] {
        const auto used = directory.usable("s");
        return std::any_of(used.begin(), used.end(), [](const auto* it) { return it->id == "a"; });
    };
    BOOST_TEST(!isUsed());
    clock.advance(5999ms);
    BOOST_TEST(!isUsed());
    clock.advance(1ms);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(UsesAnUpstreamThatWritesItsRowAgain)
{
    directory.apply(process("a", 5));
    directory.remove({ "a" });
    directory.replaceAllFromCopy({ process("a", 5) });
    BOOST_TEST(directory.apply(process("a", 5)));
    BOOST_TEST(directory.usable("s").front()->id == "a");
}

// Guards against the loss of upstreams whose first row is younger than the copy.
BOOST_AUTO_TEST_CASE(KeepsUpstreamsThatTheCopyLacksForAMoment)
{
    directory.replaceAllFromCopy({ entry("a") });
    BOOST_TEST(usable() == 4u);
    clock.advance(2s);
    directory.expire();
    BOOST_TEST(usable() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against the loss of upstreams in a store outage that is too short for the table feed to notice.
BOOST_AUTO_TEST_CASE(UsesEntriesThatVanishTogetherForAMoment)
{
    directory.remove({ "a", "b", "c" });
    BOOST_TEST(usable() == 4u);
    clock.advance(1500ms);
    BOOST_TEST(directory.expire().size() == 3u);
}

BOOST_AUTO_TEST_SUITE(WhenEntriesThatVanishTogetherDidLeave)

// Guards against requests to upstreams that left until the next check for ended grace periods.
BOOST_AUTO_TEST_CASE(SendsThemNothingFromTheEndOfTheGrace)
{
    directory.setSimultaneousLossGrace(1260ms);
    directory.remove({ "a", "b", "c" });
    clock.advance(1259ms);
    BOOST_TEST(usable() == 4u);
    clock.advance(1ms);
    BOOST_TEST(usable() == 1u);
}

// Guards against a grace period after which requests arrive later than the platform allows.
BOOST_AUTO_TEST_CASE(EndsTheGraceInTimeHoweverLateTheRemovalIsRead)
{
    for (const auto drainPeriod : { 500ms, 2000ms, 3000ms }) {
        for (const auto changeDelay : { 20ms, 400ms, 540ms, 1000ms }) {
            const auto grace = simultaneousLossGrace(drainPeriod, changeDelay);
            BOOST_TEST((grace >= 0ms && grace <= 1500ms));
            BOOST_TEST((grace == 0ms || changeDelay + grace + 200ms <= drainPeriod));
        }
    }
    BOOST_TEST((simultaneousLossGrace(2000ms, 540ms) == 1260ms));
    BOOST_TEST((simultaneousLossGrace(3000ms, 540ms) == 1500ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
