#include "bulrushstack/serving/crash_suspects.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

ServingRequest request(std::vector<std::string> parts)
{
    ServingRequest out;
    for (auto& it : parts)
        out.prompt.push_back({ .id = std::move(it), .tokens = 10 });
    return out;
}

/// An instance that sees crashes and served requests; each of its requests has a digest of its own.
struct Instance {
    Instance(const Clock& clock, std::string instanceName)
        : suspects(clock)
        , name(std::move(instanceName))
    {
    }

    /// Returns the contents of a new request with these shared prompt parts.
    std::vector<CrashSuspect> contents(std::vector<std::string> parts)
    {
        const auto digest = name + std::to_string(++requests);
        parts.push_back("own-" + digest);
        return suspectsOf(request(std::move(parts)), digest);
    }

    void crash(const std::string& upstream, std::vector<std::string> parts)
    {
        suspects.recordCrash(upstream, 1, contents(std::move(parts)));
    }

    void serve(std::vector<std::string> parts) { suspects.recordServed(contents(std::move(parts))); }

    bool isRefused(std::vector<std::string> parts)
    {
        return suspects.findQuarantined(contents(std::move(parts))).has_value();
    }

    CrashSuspects suspects;
    std::string name;
    unsigned requests = 0;
};

struct Fixture {
    ManualClock clock;
    Instance instance { clock, "first" };

    /// Crashes so many upstreams, 2 s apart, by requests with these shared prompt parts.
    void crashUpstreams(unsigned count, const std::vector<std::string>& parts)
    {
        for (unsigned i = 0; i < count; ++i) {
            instance.crash("u" + std::to_string(++crashes), parts);
            clock.advance(2s);
        }
    }

    unsigned crashes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashSuspectsTests, Fixture)

BOOST_AUTO_TEST_SUITE(PromptPartCrashesEveryUpstream)

// Guards against requests that differ in everything but one prompt part and crash one upstream after the other.
BOOST_AUTO_TEST_CASE(IsQuarantinedAfterThreeCrashes)
{
    instance.serve({ "house", "opera" });
    clock.advance(1s);
    crashUpstreams(2, { "house", "opera", "crashing" });
    BOOST_TEST(!instance.isRefused({ "house", "opera", "crashing" }));
    crashUpstreams(1, { "house", "opera", "crashing" });
    BOOST_TEST(instance.isRefused({ "house", "opera", "crashing" }));
    BOOST_TEST(instance.isRefused({ "other", "crashing" }));
}

// Guards against the loss of all upstreams within a second before the part is found.
BOOST_AUTO_TEST_CASE(IsQuarantinedSoonIfItsRequestsAreMany)
{
    instance.serve({ "house", "opera" });
    for (int i = 0; i < 8; ++i) {
        clock.advance(80ms);
        instance.crash("u" + std::to_string(i), { "house", "opera", "crashing" });
    }
    BOOST_TEST(instance.isRefused({ "house", "opera", "crashing" }));
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
}

// Guards against refusing requests that share their other parts with the crashing ones.
BOOST_AUTO_TEST_CASE(LeavesItsNeighboursAlone)
{
    instance.serve({ "house", "opera" });
    clock.advance(1s);
    crashUpstreams(8, { "house", "opera", "crashing" });
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
    BOOST_TEST(!instance.isRefused({ "house", "ballet" }));
}

// The same where no request was served since the start, so that every part is equally suspect.
BOOST_AUTO_TEST_CASE(LeavesPartsAloneThatMoreRequestsShare)
{
    crashUpstreams(3, { "house", "opera", "crashing" });
    BOOST_TEST(instance.isRefused({ "house", "opera", "crashing" }));
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
}

// The part in front of others that change: the evidence against it replaces a wrong first guess.
BOOST_AUTO_TEST_CASE(IsFoundBeforeOtherParts)
{
    crashUpstreams(3, { "crashing", "opera" });
    crashUpstreams(3, { "crashing", "ballet" });
    BOOST_TEST(instance.isRefused({ "crashing" }));
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
    BOOST_TEST(!instance.isRefused({ "house", "ballet" }));
}

// Guards against an innocent part that happened to be in progress on upstreams which crashed for another reason.
BOOST_AUTO_TEST_CASE(IsNotBlamedForOtherCrashes)
{
    for (int i = 0; i < 3; ++i) {
        instance.crash("u" + std::to_string(i), { "house", "crashing" });
        instance.crash("u" + std::to_string(i), { "house", "opera" });
        instance.crash("u" + std::to_string(i), { "shop" + std::to_string(i) });
        clock.advance(2s);
    }
    instance.crash("u9", { "house", "opera" });
    instance.serve({ "house", "opera" });
    BOOST_TEST(instance.isRefused({ "house", "crashing" }));
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
}

// A part that was served until now needs more crashes, but is found as well.
BOOST_AUTO_TEST_CASE(IsFoundAfterItWasServedForLong)
{
    instance.serve({ "turned" });
    clock.advance(1s);
    crashUpstreams(4, { "turned" });
    BOOST_TEST(!instance.isRefused({ "turned" }));
    crashUpstreams(1, { "turned" });
    BOOST_TEST(instance.isRefused({ "turned" }));
}

// Guards against crashes of other causes that are exchanged and counted for long.
BOOST_AUTO_TEST_CASE(NeedsThreeCrashesWithinThreeMinutes)
{
    crashUpstreams(2, { "house", "opera" });
    clock.advance(3min);
    crashUpstreams(1, { "house", "opera" });
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
    BOOST_TEST(instance.suspects.crashes().size() == 1u);
}

BOOST_AUTO_TEST_CASE(IsForgottenAfterTenMinutes)
{
    crashUpstreams(3, { "house", "crashing" });
    BOOST_TEST(instance.isRefused({ "house", "crashing" }));
    clock.advance(9min);
    crashUpstreams(1, { "shop" });
    BOOST_TEST(instance.isRefused({ "house", "crashing" }));
    clock.advance(1min);
    crashUpstreams(1, { "shop" });
    BOOST_TEST(!instance.isRefused({ "house", "crashing" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamsCrashForAnotherReason)

// Guards against refusing busy requests after the simultaneous loss of many upstreams.
BOOST_AUTO_TEST_CASE(SimultaneousCrashesCountOnce)
{
    for (int i = 0; i < 20; ++i)
        instance.crash("u" + std::to_string(i), { "house", "opera" });
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
}

// The same for a part in constant use whose upstreams fail within a second, but not at the same moment.
BOOST_AUTO_TEST_CASE(CrashesWithinASecondDoNotCondemnAPartInUse)
{
    instance.serve({ "house", "opera" });
    for (int i = 0; i < 10; ++i) {
        clock.advance(100ms);
        instance.crash("u" + std::to_string(i), { "house", "opera" });
    }
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
}

BOOST_AUTO_TEST_CASE(AServedRequestClearsItsParts)
{
    for (int i = 0; i < 10; ++i) {
        crashUpstreams(2, { "house", "opera" });
        instance.serve({ "house", "opera" });
    }
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
}

BOOST_AUTO_TEST_CASE(TheLastPromptPartIsNotSuspect)
{
    for (int i = 0; i < 5; ++i) {
        instance.suspects.recordCrash(
            "u" + std::to_string(i), 1, suspectsOf(request({ "session" }), std::to_string(i)));
        clock.advance(2s);
    }
    BOOST_TEST(!instance.suspects.findQuarantined(suspectsOf(request({ "session" }), "next")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SameRequestIsSentAgain)

BOOST_AUTO_TEST_CASE(IsQuarantinedAfterTwoCrashes)
{
    const auto contents = instance.contents({ "house" });
    instance.suspects.recordCrash("u1", 1, contents);
    BOOST_TEST(!instance.suspects.findQuarantined(contents));
    instance.suspects.recordCrash("u1", 2, contents);
    BOOST_TEST(instance.suspects.findQuarantined(contents).has_value());
    BOOST_TEST(!instance.isRefused({ "house" }));
}

// One crash of a process, seen by two connections, must not count twice.
BOOST_AUTO_TEST_CASE(OneCrashCountsOnce)
{
    const auto contents = instance.contents({ "house" });
    instance.suspects.recordCrash("u1", 1, contents);
    instance.suspects.recordCrash("u1", 1, contents);
    BOOST_TEST(!instance.suspects.findQuarantined(contents));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ManyCallersSendTheSameRequest)

// Guards against refusing a read for good because all upstreams that ran it were lost at the same moment.
BOOST_AUTO_TEST_CASE(IsNotBlamedForTheLossOfAllUpstreamsAtOnce)
{
    const auto read = instance.contents({});
    for (int i = 0; i < 3; ++i)
        instance.suspects.recordCrash("u" + std::to_string(i), 1, read);
    BOOST_TEST(!instance.suspects.findQuarantined(read));
}

// The same if the crashes are noticed one after the other, and the read was served until then.
BOOST_AUTO_TEST_CASE(IsNotBlamedForAnOutageWhileItIsInConstantUse)
{
    const auto read = instance.contents({});
    instance.suspects.recordServed(read);
    for (int i = 0; i < 3; ++i) {
        clock.advance(200ms);
        instance.suspects.recordCrash("u" + std::to_string(i), 1, read);
    }
    BOOST_TEST(!instance.suspects.findQuarantined(read));
}

// Guards against an instance that refuses a read because it has not served it itself.
BOOST_AUTO_TEST_CASE(IsInUseIfAnyInstanceServedIt)
{
    Instance second { clock, "second" };
    const auto read = instance.contents({});
    second.suspects.recordServed(read);
    clock.advance(1s);
    for (int i = 0; i < 3; ++i) {
        instance.suspects.recordCrash("u" + std::to_string(i), 1, read);
        clock.advance(200ms);
    }
    second.suspects.merge(instance.suspects.crashes());
    instance.suspects.merge(second.suspects.crashes());
    BOOST_TEST(!instance.suspects.findQuarantined(read));
    BOOST_TEST(!second.suspects.findQuarantined(read));
}

// A read that was served until now needs more crashes, but is found as well.
BOOST_AUTO_TEST_CASE(IsFoundIfItCrashesUpstreamsAgainAndAgain)
{
    const auto read = instance.contents({});
    instance.suspects.recordServed(read);
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(!instance.suspects.findQuarantined(read));
        clock.advance(2s);
        instance.suspects.recordCrash("u" + std::to_string(i % 2), i, read);
    }
    BOOST_TEST(instance.suspects.findQuarantined(read).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheEvidenceWasWrong)

/// Two crashes that had nothing to do with the request that was in progress.
struct WrongEvidence : Fixture {
    std::vector<CrashSuspect> contents = instance.contents({});
    std::vector<SuspectId> suspects { contents.front().suspect };

    void crashTwice()
    {
        for (int i = 0; i < 2; ++i) {
            clock.advance(2s);
            instance.suspects.recordCrash("u" + std::to_string(i), 1, contents);
        }
    }

    bool isTrialDue() { return instance.suspects.isTrialDue(suspects); }
};

BOOST_FIXTURE_TEST_SUITE(OneRequestAtATimeIsLetThrough, WrongEvidence)

// Guards against a request that is refused for as long as the quarantine lasts, since nothing can show that it is
// sound.
BOOST_AUTO_TEST_CASE(ATrialIsDueAfterAWhile)
{
    crashTwice();
    BOOST_TEST(!isTrialDue());
    clock.advance(15s);
    BOOST_TEST(isTrialDue());
    BOOST_TEST(instance.suspects.findQuarantined(contents).has_value());
}

BOOST_AUTO_TEST_CASE(AServedTrialEndsTheQuarantine)
{
    crashTwice();
    clock.advance(15s);
    instance.suspects.recordTrial(suspects);
    instance.suspects.recordServed(contents);
    BOOST_TEST(!instance.suspects.findQuarantined(contents));
}

// Guards against trials of a request that does crash upstreams: each of them costs one.
BOOST_AUTO_TEST_CASE(ATrialPutsOffTheNextOne)
{
    crashTwice();
    clock.advance(15s);
    instance.suspects.recordTrial(suspects);
    instance.suspects.recordCrash("u3", 1, contents);
    clock.advance(59s);
    BOOST_TEST(!isTrialDue());
    clock.advance(1s);
    BOOST_TEST(isTrialDue());
    instance.suspects.recordTrial(suspects);
    clock.advance(5min);
    BOOST_TEST(!isTrialDue());
    BOOST_TEST(instance.suspects.findQuarantined(contents).has_value());
}

BOOST_AUTO_TEST_CASE(ATrialIsDueSoonerForWhatWasServedShortlyBefore)
{
    instance.suspects.recordServed(contents);
    for (int i = 0; i < 5; ++i) {
        clock.advance(2s);
        instance.suspects.recordCrash("u" + std::to_string(i), 1, contents);
    }
    BOOST_TEST(instance.suspects.findQuarantined(contents).has_value());
    clock.advance(4s);
    BOOST_TEST(!isTrialDue());
    clock.advance(1s);
    BOOST_TEST(isTrialDue());
}

// Guards against a trial of each instance, and against trials that begin anew when all instances were lost.
BOOST_AUTO_TEST_CASE(AnotherInstanceCountsTheTrial)
{
    Instance second { clock, "second" };
    Instance restarted { clock, "restarted" };
    crashTwice();
    clock.advance(15s);
    second.suspects.merge(instance.suspects.crashes());
    BOOST_TEST(second.suspects.isTrialDue(suspects));
    instance.suspects.recordTrial(suspects);
    BOOST_TEST(instance.suspects.fingerprint() != second.suspects.fingerprint());
    second.suspects.merge(instance.suspects.crashes());
    restarted.suspects.merge(instance.suspects.quarantineEvidence());
    for (const auto* it : { &second, &restarted }) {
        BOOST_TEST(!it->suspects.isTrialDue(suspects));
        BOOST_TEST(it->suspects.quarantined().at(suspects.front()).trials == 1U);
    }
}

// A request that contains two quarantined suspects says nothing about either of them unless both are to be tested.
BOOST_AUTO_TEST_CASE(AllThatIsQuarantinedMustBeDue)
{
    crashTwice();
    clock.advance(15s);
    crashes = 10; // other upstreams than those of the request
    crashUpstreams(3, { "crashing" });
    const SuspectId part { .kind = SuspectKind::PromptPart, .id = "crashing" };
    BOOST_TEST(isTrialDue());
    BOOST_TEST(!instance.suspects.isTrialDue({ suspects.front(), part }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InstancesExchangeWhatTheyKnow)

// Guards against a part that needs as many crashes as there are instances times the threshold.
BOOST_AUTO_TEST_CASE(CrashesOfSeveralInstancesAddUp)
{
    Instance second { clock, "second" };
    Instance third { clock, "third" };
    instance.crash("u1", { "house", "crashing" });
    clock.advance(2s);
    second.crash("u2", { "house", "crashing" });
    clock.advance(2s);
    third.crash("u3", { "house", "crashing" });
    for (const auto* it : { &instance, &second })
        third.suspects.merge(it->suspects.crashes());
    BOOST_TEST(third.isRefused({ "house", "crashing" }));
    instance.suspects.merge(third.suspects.crashes());
    BOOST_TEST(instance.isRefused({ "house", "crashing" }));
    BOOST_TEST(instance.suspects.fingerprint() == third.suspects.fingerprint());
    BOOST_TEST(instance.suspects.fingerprint() != second.suspects.fingerprint());
}

// Guards against a crash that is counted again with each message, or a cleared part that an old message makes suspect.
BOOST_AUTO_TEST_CASE(MergingIsIdempotent)
{
    Instance second { clock, "second" };
    crashUpstreams(2, { "house", "opera" });
    const auto old = instance.suspects.crashes();
    for (int i = 0; i < 5; ++i)
        second.suspects.merge(old);
    BOOST_TEST(!second.isRefused({ "house", "opera" }));
    second.serve({ "house", "opera" });
    second.suspects.merge(old);
    crashUpstreams(2, { "house", "opera" });
    instance.suspects.merge(second.suspects.crashes());
    instance.suspects.merge(old);
    BOOST_TEST(!instance.isRefused({ "house", "opera" }));
}

// A part that another instance served after the crash is innocent although the news of the crash came later.
BOOST_AUTO_TEST_CASE(APartServedElsewhereMeanwhileIsCleared)
{
    Instance second { clock, "second" };
    crashUpstreams(3, { "opera" });
    second.serve({ "opera" });
    clock.advance(1s);
    second.suspects.merge(instance.suspects.crashes());
    BOOST_TEST(!second.isRefused({ "opera" }));
    instance.suspects.merge(second.suspects.crashes());
    BOOST_TEST(!instance.isRefused({ "opera" }));
}

// Guards against a new instance that refuses what the quarantine does not name, or lets through what it names.
BOOST_AUTO_TEST_CASE(TheEvidenceOfTheQuarantineIsEnough)
{
    Instance second { clock, "second" };
    for (int i = 0; i < 4; ++i) {
        instance.crash("u" + std::to_string(i), { "house", "crashing" });
        instance.crash("u" + std::to_string(i), { "house", "opera" });
        clock.advance(2s);
    }
    instance.serve({ "house" });
    second.suspects.merge(instance.suspects.quarantineEvidence());
    BOOST_TEST(second.isRefused({ "house", "crashing" }));
    BOOST_TEST(!second.isRefused({ "house", "opera" }));
    BOOST_TEST((second.suspects.quarantined() == instance.suspects.quarantined()));
}

// Guards against memory that grows with the number of crashes, and against evidence that innocent crashes displace.
BOOST_AUTO_TEST_CASE(KeepsABoundedNumberOfCrashes)
{
    crashUpstreams(3, { "house", "crashing" });
    for (int i = 0; i < 300; ++i) {
        const auto contents = instance.contents({ "shop" });
        instance.suspects.recordCrash("v" + std::to_string(i), 1, contents);
        instance.suspects.recordServed(contents);
    }
    BOOST_TEST(instance.suspects.crashes().size() <= 128u);
    BOOST_TEST(instance.isRefused({ "house", "crashing" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
