#include "bulrushstack/serving/residency_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

EngineSpec engineOfThreeModels()
{
    EngineSpec out { .slots = 8, .memoryMb = 100, .adapterSlots = 2, .weightStoreLoadsPerSecond = 1 };
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
    ResidencyTracker tracker { clock, engineOfThreeModels() };

    void updateDirectory(const UpstreamEntry& entry) { tracker.update({ &entry }); }
    const UpstreamResidency& upstream() const { return *tracker.find("u"); }

    UpstreamOrder sendOrder(OrderKind kind, std::string model, OrderResult answer, std::string adapter = {})
    {
        auto order = tracker.beginOrder(
            { .kind = kind, .upstreamId = "u", .model = std::move(model), .adapter = std::move(adapter) });
        tracker.finishOrder(order, answer);
        return order;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AResidencyTracker, Fixture)

// Guards against orders that are based on an outdated directory row.
BOOST_AUTO_TEST_CASE(KnowsAnUpstreamOnlyAfterItsReport)
{
    updateDirectory(entryWith({ "tosca" }));
    BOOST_TEST(!upstream().isStateKnown);
    tracker.recordReport("u", reportWith({ "tosca" }, 3));
    BOOST_TEST(upstream().isStateKnown);
    BOOST_TEST(upstream().ordersAccepted == 3u);
}

BOOST_AUTO_TEST_SUITE(ReservesMemory)

BOOST_AUTO_TEST_CASE(FromBeforeALoadIsSentUntilItIsUnloaded)
{
    updateDirectory(entryWith({ "tosca" }));
    tracker.recordReport("u", reportWith({ "tosca" }));
    BOOST_TEST(tracker.fits({ .upstreamId = "u", .model = "aida" }));
    sendOrder(OrderKind::Load, "aida", OrderResult::Accepted);
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
    updateDirectory(entryWith({ "tosca", "aida" }));
    BOOST_TEST(upstream().loaded.count("aida") == 1u);
    BOOST_TEST(!upstream().isBusy);
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
}

// Guards against orders that exceed the memory of an upstream because a directory row from before a store outage
// arrives after the state report.
BOOST_AUTO_TEST_CASE(AlsoWhenAnOlderDirectoryRowShowsFewerModels)
{
    updateDirectory(entryWith({ "tosca" }));
    tracker.recordReport("u", reportWith({ "tosca", "aida" }, 1));
    updateDirectory(entryWith({ "tosca" }));
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
    updateDirectory(entryWith({}));
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
    BOOST_TEST(!upstream().isStateKnown);
}

BOOST_AUTO_TEST_CASE(OfAnUnloadUntilTheUpstreamReportsItDone)
{
    updateDirectory(entryWith({ "tosca", "aida" }));
    tracker.recordReport("u", reportWith({ "tosca", "aida" }));
    sendOrder(OrderKind::Unload, "aida", OrderResult::Accepted);
    BOOST_TEST(upstream().loaded.count("aida") == 0u);
    updateDirectory(entryWith({ "tosca" }));
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
    tracker.recordReport("u", reportWith({ "tosca" }, 1));
    BOOST_TEST(tracker.fits({ .upstreamId = "u", .model = "norma" }));
}

// Guards against a state report that predates the last accepted order and frees its memory.
BOOST_AUTO_TEST_CASE(DespiteAReportThatIsOlderThanTheLastOrder)
{
    updateDirectory(entryWith({ "tosca" }));
    tracker.recordReport("u", reportWith({ "tosca" }));
    sendOrder(OrderKind::Load, "aida", OrderResult::Accepted);
    tracker.recordReport("u", reportWith({ "tosca" }, 0));
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
}

// Guards against missing the memory of a load that the previous holder ordered and that the report does not name.
BOOST_AUTO_TEST_CASE(OfALoadThatIsNotNamedByWaitingForItsEnd)
{
    updateDirectory(entryWith({ "tosca" }));
    tracker.recordReport("u", reportWith({ "tosca" }, 1, true));
    BOOST_TEST(!upstream().isStateKnown);
    tracker.recordReport("u", reportWith({ "tosca", "aida" }, 1));
    BOOST_TEST(upstream().isStateKnown);
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
}

BOOST_AUTO_TEST_CASE(OfAdaptersBySlot)
{
    updateDirectory(entryWith({ "tosca" }));
    tracker.recordReport("u", reportWith({ "tosca" }));
    sendOrder(OrderKind::Load, "tosca", OrderResult::Accepted, "a1");
    sendOrder(OrderKind::Load, "tosca", OrderResult::Accepted, "a2");
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "tosca", .adapter = "a3" }));
    updateDirectory(entryWith({ "tosca", "aida" }));
    clock.advance(1min);
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "tosca", .adapter = "a3" }));
    sendOrder(OrderKind::Unload, "tosca", OrderResult::AlreadyHolds, "a1");
    BOOST_TEST(tracker.fits({ .upstreamId = "u", .model = "tosca", .adapter = "a3" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SettlesAnOrderWithoutAnAnswer)

// Guards against an order and its retry that both take effect.
BOOST_AUTO_TEST_CASE(ByTheSameOrderWithTheSameCount)
{
    updateDirectory(entryWith({ "tosca" }));
    tracker.recordReport("u", reportWith({ "tosca" }, 5));
    const auto lost = sendOrder(OrderKind::Load, "aida", OrderResult::Unknown);
    BOOST_TEST(lost.expectedOrders == 5u);
    BOOST_REQUIRE(tracker.unresolvedOrder("u").has_value());
    const auto again = tracker.beginOrder(*tracker.unresolvedOrder("u"));
    BOOST_TEST(again.expectedOrders == 5u);
    tracker.finishOrder(again, OrderResult::Conflict);
    BOOST_TEST(!tracker.unresolvedOrder("u").has_value());
    BOOST_TEST(!upstream().isStateKnown);
    BOOST_TEST(!tracker.fits({ .upstreamId = "u", .model = "norma" }));
}

BOOST_AUTO_TEST_CASE(ByANewStartOfTheUpstream)
{
    updateDirectory(entryWith({ "tosca" }));
    tracker.recordReport("u", reportWith({ "tosca" }, 5));
    sendOrder(OrderKind::Load, "aida", OrderResult::Unknown);
    updateDirectory(entryWith({}, 2));
    BOOST_TEST(!tracker.unresolvedOrder("u").has_value());
    BOOST_TEST(upstream().loaded.empty());
    BOOST_TEST(upstream().ordersAccepted == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LimitsTheLoadRateOfTheWeightStore)

BOOST_AUTO_TEST_CASE(OverASlidingWindow)
{
    updateDirectory(entryWith({}));
    tracker.recordReport("u", reportWith({}));
    const auto allowed = tracker.weightStoreLoadAllowance();
    BOOST_TEST(allowed > 0u);
    sendOrder(OrderKind::Load, "aida", OrderResult::Accepted);
    BOOST_TEST(tracker.weightStoreLoadAllowance() == allowed - 1);
    clock.advance(5001ms);
    BOOST_TEST(tracker.weightStoreLoadAllowance() == allowed);
}

// Guards against exceeding the rate limit because a new holder ignores the loads that the previous one ordered.
BOOST_AUTO_TEST_CASE(AcrossHolders)
{
    const auto allowed = tracker.weightStoreLoadAllowance();
    tracker.assumeRecentWeightStoreLoads(3s);
    BOOST_TEST(tracker.weightStoreLoadAllowance() < allowed);
    clock.advance(2001ms);
    BOOST_TEST(tracker.weightStoreLoadAllowance() == allowed);
}

BOOST_AUTO_TEST_CASE(NotForLocalCopies)
{
    auto entry = entryWith({});
    entry.modelsOnDisk = { "aida" };
    updateDirectory(entry);
    BOOST_TEST(!tracker.isWeightStoreLoad("u", "aida"));
    BOOST_TEST(tracker.isWeightStoreLoad("u", "norma"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
