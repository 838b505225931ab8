#include "bulrushstack/serving/placement_planner.h"

#include <boost/test/unit_test.hpp>
#include <list>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Simulates upstreams of one service that take time to carry out orders, with a plan every 150 ms.
struct Fixture {
    ManualClock clock;
    DemandEstimator demand { clock };
    ResidencyTracker tracker { clock, spec() };
    std::list<UpstreamEntry> entries;
    std::map<std::string, std::uint64_t> orders;
    std::set<std::string> leaving;
    struct Running {
        PlannedChange change;
        SteadyTime until;
    };
    std::vector<Running> running;
    unsigned loads = 0;

    static EngineSpec spec()
    {
        EngineSpec out { .slots = 8, .memoryMb = 100, .adapterSlots = 2, .weightStoreLoadsPerSecond = 2 };
        for (const auto* name : { "a", "b", "c", "d", "e" })
            out.models.push_back({ .name = name, .sizeMb = 40, .adapterSizeMb = 1 });
        return out;
    }

    void add(std::string id, std::vector<std::string> models, std::string softwareVersion = "v1")
    {
        UpstreamEntry entry { .id = std::move(id), .service = "s", .softwareVersion = std::move(softwareVersion) };
        for (auto& it : models)
            entry.models.push_back({ .name = std::move(it) });
        entries.push_back(entry);
        update();
        tracker.recordReport(entry.id, { .models = entry.models });
    }

    void update()
    {
        std::vector<const UpstreamEntry*> all;
        for (const auto& it : entries)
            all.push_back(&it);
        tracker.update(all);
    }

    void addDemand(const std::string& model, double workPerSecond)
    {
        demand.add({ { .service = "s", .model = model, .requests = 1, .workMs = workPerSecond * 0.15 } });
    }

    /// Reports a stream of the version that waits for the model.
    void addUnplacedStream(const std::string& model, const std::string& softwareVersion)
    {
        demand.add({ { .service = "s", .model = model, .unplacedByVersion = { { softwareVersion, 1 } } } });
    }

    unsigned copies(const std::string& model) const
    {
        unsigned out = 0;
        for (const auto& [id, upstream] : tracker.upstreams())
            out += leaving.count(id) ? 0 : upstream.loaded.count(model);
        return out;
    }

    void step()
    {
        clock.advance(150ms);
        for (auto it = running.begin(); it != running.end();) {
            if (it->until > clock.now()) {
                ++it;
                continue;
            }
            complete(it->change);
            it = running.erase(it);
        }
        update();
        for (const auto& change : planPlacement("s", tracker, demand, leaving, {})) {
            UpstreamOrder order { .kind = change.kind, .upstreamId = change.upstreamId, .model = change.model };
            BOOST_REQUIRE(tracker.fits(order));
            tracker.finishOrder(tracker.beginOrder(order), OrderResult::Accepted);
            ++orders[change.upstreamId];
            loads += change.kind == OrderKind::Load;
            running.push_back({ change, clock.now() + (change.kind == OrderKind::Load ? 2s : 0s) });
        }
    }

    void complete(const PlannedChange& change)
    {
        for (auto& it : entries) {
            if (it.id != change.upstreamId)
                continue;
            if (change.kind == OrderKind::Load)
                it.models.push_back({ .name = change.model });
            else
                std::erase_if(it.models, [&](const LoadedModel& model) { return model.name == change.model; });
            update();
            tracker.recordReport(it.id, { .ordersAccepted = orders[it.id], .models = it.models });
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(APlan, Fixture)

// Guards against a model that has no copy and therefore cannot be served.
BOOST_AUTO_TEST_CASE(LoadsAModelWithoutACopyFirst)
{
    add("u0", { "a" });
    add("u1", { "b", "a" });
    add("u2", { "c", "a" });
    add("u3", { "d" });
    addDemand("a", 5000);
    const auto plan = planPlacement("s", tracker, demand, leaving, {});
    BOOST_REQUIRE(!plan.empty());
    BOOST_TEST(plan.front().model == "e");
}

BOOST_AUTO_TEST_SUITE(ForAStreamThatACallerTakesUp)

// Guards against streams that cannot go on, since the model is loaded at another software version only.
BOOST_AUTO_TEST_CASE(LoadsItsModelAtItsSoftwareVersion)
{
    add("u0", { "a", "b" }, "v2");
    add("u1", { "c", "d" }, "v1");
    add("u2", { "e" }, "v2");
    for (int i = 0; i < 30; ++i) {
        addUnplacedStream("a", "v1");
        step();
    }
    BOOST_TEST(tracker.upstreams().at("u1").loaded.count("a") == 1u);
    BOOST_TEST(tracker.upstreams().at("u2").loaded.count("a") == 0u);
}

BOOST_AUTO_TEST_CASE(LoadsOneCopyHoweverManyStreamsWait)
{
    add("u0", { "a", "b" }, "v2");
    add("u1", { "c" }, "v1");
    add("u2", { "d" }, "v1");
    add("u3", { "e" }, "v1");
    for (int i = 0; i < 60; ++i) {
        for (int n = 0; n < 20; ++n)
            addUnplacedStream("a", "v1");
        step();
    }
    BOOST_TEST(copies("a") == 2u);
}

// Guards against a copy at another version for a model without a copy, which the stream cannot use.
BOOST_AUTO_TEST_CASE(LoadsAModelWithoutACopyAtTheSoftwareVersionFirst)
{
    add("u0", { "b" }, "v2");
    add("u1", { "c" }, "v1");
    add("u2", { "d", "e" }, "v2");
    demand.add({ { .service = "s", .model = "a", .unplaced = 1, .unplacedByVersion = { { "v1", 1 } } } });
    const auto plan = planPlacement("s", tracker, demand, leaving, {});
    BOOST_REQUIRE(plan.size() == 1u);
    BOOST_TEST(plan.front().upstreamId == "u1");
}

BOOST_AUTO_TEST_CASE(ChangesNothingIfNoUpstreamHasTheVersion)
{
    add("u0", { "a", "b" }, "v2");
    add("u1", { "c", "d" }, "v2");
    add("u2", { "e" }, "v2");
    addUnplacedStream("a", "v1");
    BOOST_TEST(planPlacement("s", tracker, demand, leaving, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(MovesCopiesWithTheDemand)
{
    add("u0", { "a", "b" });
    add("u1", { "a", "c" });
    add("u2", { "a", "d" });
    add("u3", { "a", "e" });
    for (int i = 0; i < 60; ++i) {
        addDemand("b", 1500);
        step();
    }
    BOOST_TEST(copies("b") >= 3u);
    for (const auto* model : { "a", "b", "c", "d", "e" })
        BOOST_TEST(copies(model) >= 1u);
}

// Guards against endless loads and unloads of models with similar demand.
BOOST_AUTO_TEST_CASE(IsStableWhenDemandIsSpreadEvenly)
{
    add("u0", { "a", "b" });
    add("u1", { "a", "c" });
    add("u2", { "b", "d" });
    add("u3", { "c", "e" });
    for (int i = 0; i < 100; ++i) {
        for (const auto* model : { "a", "b", "c" })
            addDemand(model, 900 + (i % 7) * 40);
        step();
    }
    BOOST_TEST(loads <= 2u);
}

// Guards against a load from the weight store, which takes seconds, when another upstream has the weights on disk.
BOOST_AUTO_TEST_CASE(PrefersALocalCopyToFreeMemory)
{
    add("u0", { "a", "b" });
    add("u1", { "c", "d" });
    add("u2", { "e", "d" });
    add("u3", {});
    entries.back().modelsOnDisk = {};
    std::next(entries.begin(), 2)->modelsOnDisk = { "b", "e", "d" };
    update();
    addDemand("b", 6000);
    const auto plan = planPlacement("s", tracker, demand, leaving, {});
    BOOST_REQUIRE(!plan.empty());
    BOOST_TEST(plan.front().upstreamId == "u2");
    BOOST_TEST(plan.front().model == "d");
}

// Guards against slow loads of additional copies that keep the upstreams busy when a model without a copy needs one.
BOOST_AUTO_TEST_CASE(ReadsTheWeightStoreOnlyForOverloadedCopiesWhileUpstreamsAreBusy)
{
    for (int i = 0; i < 5; ++i)
        add("u" + std::to_string(i), { "a" });
    add("u5", { "b" });
    for (const auto& [upstream, model] : { std::pair("u0", "c"), std::pair("u1", "d") })
        tracker.finishOrder(tracker.beginOrder({ .upstreamId = upstream, .model = model }), OrderResult::Accepted);
    demand.add({ { .service = "s", .model = "b", .requests = 1, .workMs = 1400 } }); // 700 ms per second
    const auto loadsB = [&] {
        const auto plan = planPlacement("s", tracker, demand, leaving, {});
        return std::count_if(plan.begin(), plan.end(), [](const auto& it) { return it.model == "b"; });
    };
    BOOST_TEST(loadsB() == 0);
    demand.add({ { .service = "s", .model = "b", .requests = 1, .workMs = 1400 } });
    BOOST_TEST(loadsB() == 1);
}

BOOST_AUTO_TEST_CASE(NeverUnloadsALastCopy)
{
    add("u0", { "a", "b" });
    add("u1", { "c", "d" });
    add("u2", { "e" });
    for (int i = 0; i < 60; ++i) {
        addDemand("a", 5000);
        step();
        BOOST_TEST(copies("b") + copies("c") + copies("d") + copies("e") >= 4u);
    }
}

// Guards against a model that is never served because the memory is full and each loaded model has only one copy.
BOOST_AUTO_TEST_CASE(UnloadsTheLastCopyOfAnIdleModelForOneThatIsRequested)
{
    add("u0", { "a", "b" });
    add("u1", { "c", "d" });
    for (int i = 0; i < 60; ++i) {
        addDemand("a", 300);
        addDemand("b", 300);
        demand.add({ { .service = "s", .model = "e", .requests = 1, .workMs = 1, .unplaced = copies("e") ? 0U : 1U } });
        step();
    }
    BOOST_TEST(copies("e") == 1u);
    BOOST_TEST(copies("a") == 1u);
    BOOST_TEST(copies("b") == 1u);
    BOOST_TEST(copies("c") + copies("d") == 1u);
}

// Guards against a missed model that is loaded only after the demand for the others has decayed.
BOOST_AUTO_TEST_CASE(LoadsAMissedModelSoonAfterTheOthersWereBusy)
{
    add("u0", { "a", "b" });
    add("u1", { "c", "d" });
    for (int i = 0; i < 20; ++i) {
        for (const auto* model : { "a", "b", "c", "d" })
            addDemand(model, 500);
        step();
    }
    for (int i = 0; i < 50 && copies("e") == 0; ++i) {
        if (i % 10 == 0)
            demand.add({ { .service = "s", .model = "e", .requests = 1, .workMs = 1, .unplaced = 1 } });
        step();
    }
    BOOST_TEST(copies("e") == 1u);
}

// Guards against a model that becomes unavailable when the upstream with its only copy shuts down.
BOOST_AUTO_TEST_CASE(ReplacesCopiesOfALeavingUpstream)
{
    add("u0", { "a", "b" });
    add("u1", { "c", "d" });
    add("u2", { "e" });
    add("u3", {});
    leaving.insert("u0");
    for (int i = 0; i < 60; ++i)
        step();
    BOOST_TEST(copies("a") == 1u);
    BOOST_TEST(copies("b") == 1u);
}

BOOST_AUTO_TEST_SUITE(ForAnAdapter)

BOOST_AUTO_TEST_CASE(TakesAFreeSlotAndThenTheLeastRecentlyRequestedOne)
{
    add("u0", { "a" });
    const std::map<AdapterKey, SteadyTime> lastRequested { { { "a", "x1" }, clock.now() },
        { { "a", "x2" }, clock.now() - 1s } };
    for (const auto* adapter : { "x1", "x2" }) {
        const auto choice = chooseAdapterSlot(tracker, { "a", adapter }, lastRequested, leaving);
        BOOST_TEST(choice.upstreamId == "u0");
        BOOST_TEST(choice.evicted.first.empty());
        auto order = tracker.beginOrder({ .upstreamId = "u0", .model = "a", .adapter = adapter });
        tracker.finishOrder(order, OrderResult::Accepted);
    }
    const auto choice = chooseAdapterSlot(tracker, { "a", "x3" }, lastRequested, leaving);
    BOOST_TEST(choice.evicted.second == "x2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
