#include "bulrushstack/serving/residency_ledger.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

EngineSpec engineOfThreeModels()
{
    EngineSpec out { .slots = 8, .memoryMb = 100, .adapterPlaces = 2, .loadsPerSecond = 1 };
    for (const auto* name : { "tosca", "aida", "norma" })
        out.models.push_back({ .name = name, .sizeMb = 40, .adapterSizeMb = 1 });
    return out;
}

UpstreamEntry entryWith(std::vector<std::string> models, std::uint64_t startedAt = 1)
{
    UpstreamEntry out { .id = "u", .service = "s", .startedAt = startedAt };
    for (auto& it : models)
        out.models.push_back({ .name = std::move(it) });
    return out;
}

UpstreamReport reportWith(std::vector<std::string> models, std::uint64_t orders = 0, bool isBusy = false)
{
    return { .isBusy = isBusy, .ordersAccepted = orders, .models = entryWith(std::move(models)).models };
}

struct Fixture {
    ManualClock clock;
    ResidencyLedger ledger { clock, engineOfThreeModels() };

    void describe(const UpstreamEntry& entry) { ledger.update({ &entry }); }
    const UpstreamResidency& upstream() const { return *ledger.find("u"); }

    UpstreamOrder give(OrderKind kind, std::string model, OrderAnswer answer, std::string adapter = {})
    {
        auto order = ledger.begin(
            { .kind = kind, .upstreamId = "u", .model = std::move(model), .adapter = std::move(adapter) });
        ledger.finish(order, answer);
        return order;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AResidencyLedger, Fixture)

// Guards against orders on what an upstream said of itself long ago.
BOOST_AUTO_TEST_CASE(KnowsAnUpstreamOnlyAfterItsReport)
{
    describe(entryWith({ "tosca" }));
    BOOST_TEST(!upstream().isKnown);
    ledger.noteReport("u", reportWith({ "tosca" }, 3));
    BOOST_TEST(upstream().isKnown);
    BOOST_TEST(upstream().ordersAccepted == 3u);
}

BOOST_AUTO_TEST_SUITE(ChargesMemory)

BOOST_AUTO_TEST_CASE(FromBeforeALoadIsSentUntilItIsUnloaded)
{
    describe(entryWith({ "tosca" }));
    ledger.noteReport("u", reportWith({ "tosca" }));
    BOOST_TEST(ledger.fits({ .upstreamId = "u", .model = "aida" }));
    give(OrderKind::Load, "aida", OrderAnswer::Accepted);
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
    describe(entryWith({ "tosca", "aida" }));
    BOOST_TEST(upstream().held.count("aida") == 1u);
    BOOST_TEST(!upstream().isBusy);
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
}

// Guards against an upstream that is ordered beyond its memory because a description from before a store outage
// arrived after its report.
BOOST_AUTO_TEST_CASE(AlsoWhenAnOlderDescriptionShowsFewerModels)
{
    describe(entryWith({ "tosca" }));
    ledger.noteReport("u", reportWith({ "tosca", "aida" }, 1));
    describe(entryWith({ "tosca" }));
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
    describe(entryWith({}));
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
    BOOST_TEST(!upstream().isKnown);
}

BOOST_AUTO_TEST_CASE(OfAnUnloadUntilTheUpstreamReportsItDone)
{
    describe(entryWith({ "tosca", "aida" }));
    ledger.noteReport("u", reportWith({ "tosca", "aida" }));
    give(OrderKind::Unload, "aida", OrderAnswer::Accepted);
    BOOST_TEST(upstream().held.count("aida") == 0u);
    describe(entryWith({ "tosca" }));
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
    ledger.noteReport("u", reportWith({ "tosca" }, 1));
    BOOST_TEST(ledger.fits({ .upstreamId = "u", .model = "norma" }));
}

// Guards against a report that was made before the last order was accepted.
BOOST_AUTO_TEST_CASE(DespiteAReportThatIsOlderThanTheLastOrder)
{
    describe(entryWith({ "tosca" }));
    ledger.noteReport("u", reportWith({ "tosca" }));
    give(OrderKind::Load, "aida", OrderAnswer::Accepted);
    ledger.noteReport("u", reportWith({ "tosca" }, 0));
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
}

// Guards against memory that a load of the holder before takes without being named.
BOOST_AUTO_TEST_CASE(OfALoadThatIsNotNamedByWaitingForItsEnd)
{
    describe(entryWith({ "tosca" }));
    ledger.noteReport("u", reportWith({ "tosca" }, 1, true));
    BOOST_TEST(!upstream().isKnown);
    ledger.noteReport("u", reportWith({ "tosca", "aida" }, 1));
    BOOST_TEST(upstream().isKnown);
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
}

BOOST_AUTO_TEST_CASE(OfAdaptersByPlace)
{
    describe(entryWith({ "tosca" }));
    ledger.noteReport("u", reportWith({ "tosca" }));
    give(OrderKind::Load, "tosca", OrderAnswer::Accepted, "a1");
    give(OrderKind::Load, "tosca", OrderAnswer::Accepted, "a2");
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "tosca", .adapter = "a3" }));
    describe(entryWith({ "tosca", "aida" }));
    clock.advance(1min);
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "tosca", .adapter = "a3" }));
    give(OrderKind::Unload, "tosca", OrderAnswer::AlreadyHolds, "a1");
    BOOST_TEST(ledger.fits({ .upstreamId = "u", .model = "tosca", .adapter = "a3" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SettlesAnOrderWithoutAnAnswer)

// Guards against two loads that both take effect.
BOOST_AUTO_TEST_CASE(ByTheSameOrderWithTheSameCount)
{
    describe(entryWith({ "tosca" }));
    ledger.noteReport("u", reportWith({ "tosca" }, 5));
    const auto lost = give(OrderKind::Load, "aida", OrderAnswer::Unknown);
    BOOST_TEST(lost.expectedOrders == 5u);
    BOOST_REQUIRE(ledger.unsettled("u").has_value());
    const auto again = ledger.begin(*ledger.unsettled("u"));
    BOOST_TEST(again.expectedOrders == 5u);
    ledger.finish(again, OrderAnswer::Conflict);
    BOOST_TEST(!ledger.unsettled("u").has_value());
    BOOST_TEST(!upstream().isKnown);
    BOOST_TEST(!ledger.fits({ .upstreamId = "u", .model = "norma" }));
}

BOOST_AUTO_TEST_CASE(ByANewStartOfTheUpstream)
{
    describe(entryWith({ "tosca" }));
    ledger.noteReport("u", reportWith({ "tosca" }, 5));
    give(OrderKind::Load, "aida", OrderAnswer::Unknown);
    describe(entryWith({}, 2));
    BOOST_TEST(!ledger.unsettled("u").has_value());
    BOOST_TEST(upstream().held.empty());
    BOOST_TEST(upstream().ordersAccepted == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(KeepsTheRateOfTheWeightStore)

BOOST_AUTO_TEST_CASE(OverASlidingSpan)
{
    describe(entryWith({}));
    ledger.noteReport("u", reportWith({}));
    const auto allowed = ledger.storeLoadAllowance();
    BOOST_TEST(allowed > 0u);
    give(OrderKind::Load, "aida", OrderAnswer::Accepted);
    BOOST_TEST(ledger.storeLoadAllowance() == allowed - 1);
    clock.advance(5001ms);
    BOOST_TEST(ledger.storeLoadAllowance() == allowed);
}

// Guards against a new holder that adds its loads to those of the one before it.
BOOST_AUTO_TEST_CASE(AcrossHolders)
{
    const auto allowed = ledger.storeLoadAllowance();
    ledger.assumeRecentLoads(3s);
    BOOST_TEST(ledger.storeLoadAllowance() < allowed);
    clock.advance(2001ms);
    BOOST_TEST(ledger.storeLoadAllowance() == allowed);
}

BOOST_AUTO_TEST_CASE(NotForCopiesAtHand)
{
    auto entry = entryWith({});
    entry.modelsOnDisk = { "aida" };
    describe(entry);
    BOOST_TEST(!ledger.isStoreLoad("u", "aida"));
    BOOST_TEST(ledger.isStoreLoad("u", "norma"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
