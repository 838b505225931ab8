#include "platform_handler.h"

#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/platform/http_platform.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace bulrushstack::standins;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace {

/// Runs the stand-in platform on two free loopback ports, with the HTTP clients that the daemon uses.
struct PlatformFixture {
    /// Starts a server and returns its address.
    static Address startServer(HttpServer& server)
    {
        if (auto ec = server.start())
            throw std::system_error(ec);
        return { .host = "127.0.0.1", .port = server.port() };
    }

    static HttpServerOptions loopback()
    {
        HttpServerOptions options;
        options.address = { .host = "127.0.0.1", .port = 0 };
        return options;
    }

    HttpResponse call(const Address& target, std::string method, std::string path, std::string body = {})
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(path);
        request.body = std::move(body);
        return runAwaitable(context, client.call(target, std::move(request))).value();
    }

    void arm(const std::string& fault) { BOOST_REQUIRE(call(faultAddress, "POST", "/faults", fault).status == 200); }

    Result<RowVersion> put(
        const std::string& key, json value, RowVersion condition, SteadyTime deadline = SteadyTime::max())
    {
        Transaction transaction;
        transaction.conditions.push_back({ .id = { .table = "config", .key = key }, .version = condition });
        transaction.writes.push_back({ .id = { .table = "config", .key = key }, .value = std::move(value) });
        return runAwaitable(context, tables.commit(transaction, deadline));
    }

    std::optional<Row> row(const std::string& key)
    {
        return runAwaitable(context, tables.read({ .table = "config", .key = key }, SteadyTime::max())).value();
    }

    ManualClock clock;
    SystemClock systemClock;
    PlatformState state { clock, { .listLag = 300ms, .weights = { .rateMilli = 0, .loadTime = 0ns } } };
    PlatformHandler handler { state };
    PlatformFaultPort faultPort { state };
    boost::asio::io_context context;
    HttpServer server { context, loopback(), handler };
    HttpServer faultServer { context, loopback(), faultPort };
    Address address = startServer(server);
    Address faultAddress = startServer(faultServer);
    HttpClient client { context, clock };
    HttpTableService tables { client, address };
    HttpObjectStore objects { client, address };
    HttpInstanceList instances { client, address };
};

} // namespace

BOOST_AUTO_TEST_SUITE(StandinPlatform)

BOOST_FIXTURE_TEST_SUITE(Tables, PlatformFixture)

BOOST_AUTO_TEST_CASE(CommitConditionally)
{
    BOOST_TEST(put("head", 1, 0).value() == 1U);
    BOOST_TEST(put("head", 2, 1).value() == 2U);
    auto stale = put("head", 3, 1);
    BOOST_REQUIRE(stale.has_error());
    BOOST_TEST((stale.error().code == Errc::Conflict));
    BOOST_TEST((stale.error().verdict == Verdict::NotRun));
    BOOST_TEST((row("head")->value == json(2)));
    BOOST_TEST(row("head")->version == 2U);
    BOOST_TEST(state.standin.entries().size() == 2U);
}

// Guards against partial application of a transaction when one of its conditions does not hold.
BOOST_AUTO_TEST_CASE(FailedConditionRejectsWholeTransaction)
{
    put("a", 1, 0).value();
    Transaction transaction;
    transaction.conditions.push_back({ .id = { .table = "config", .key = "b" }, .version = 9 });
    transaction.writes.push_back({ .id = { .table = "config", .key = "a" }, .value = std::nullopt });
    transaction.writes.push_back({ .id = { .table = "config", .key = "b" }, .value = json(1) });
    BOOST_TEST(runAwaitable(context, tables.commit(transaction, SteadyTime::max())).has_error());
    BOOST_TEST(row("a").has_value());
    BOOST_TEST(!row("b").has_value());
    transaction.conditions[0].version = 0;
    BOOST_TEST(runAwaitable(context, tables.commit(transaction, SteadyTime::max())).has_value());
    BOOST_TEST(!row("a").has_value());
}

BOOST_AUTO_TEST_CASE(ListInPages)
{
    Transaction transaction;
    for (int i = 1000; i < 1700; ++i)
        transaction.writes.push_back(
            { .id = { .table = "config", .key = "k/" + std::to_string(i) }, .value = json(i) });
    runAwaitable(context, tables.commit(transaction, SteadyTime::max())).value();
    put("l", 1, 0).value();
    auto rows = runAwaitable(context, tables.list("config", "k/", "k/1004", 10000, SteadyTime::max())).value();
    BOOST_REQUIRE(rows.size() == 695U);
    BOOST_TEST(rows.front().id.key == "k/1005");
    BOOST_TEST(rows.back().id.key == "k/1699");
}

BOOST_AUTO_TEST_CASE(RejectMalformedRequests)
{
    for (const auto* it : { "", "[]", "{}", R"({"conditions":[],"writes":[{"table":"t","key":"k"}]})",
             R"({"conditions":[],"writes":[{"table":"t","key":"k","value":1,"delete":true}]})",
             R"({"conditions":[{"table":"t","key":"k","version":-1}],"writes":[]})",
             R"({"conditions":[{"table":"t","key":7,"version":1}],"writes":[]})", R"({"conditions":{},"writes":[]})" })
        BOOST_TEST(call(address, "POST", "/transactions", it).status == 400U, it);
    BOOST_TEST(call(address, "GET", "/tables/config/rows?limit=x").status == 400U);
    BOOST_TEST(call(address, "GET", "/tables/config/rows/%zz").status == 400U);
    BOOST_TEST(call(address, "GET", "/elsewhere").status == 400U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Faults, PlatformFixture)

BOOST_AUTO_TEST_CASE(LoseAnswerKeepsTheWrite)
{
    arm(R"({"point":"table-commit","action":"lose-answer"})");
    auto version = put("head", 1, 0);
    BOOST_REQUIRE(version.has_error());
    BOOST_TEST((version.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(row("head").has_value());
    BOOST_TEST(state.standin.entries().size() == 1U);
}

BOOST_AUTO_TEST_CASE(CutKeepsTheWrite)
{
    arm(R"({"point":"table-commit","action":"cut"})");
    auto version = put("head", 1, 0);
    BOOST_REQUIRE(version.has_error());
    BOOST_TEST((version.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(row("head").has_value());
}

// Guards against execution of a request that a drop or mute fault should have discarded.
BOOST_AUTO_TEST_CASE(DropAndMuteSkipExecution)
{
    arm(R"({"point":"table-commit","action":"drop"})");
    auto dropped = put("head", 1, 0);
    BOOST_REQUIRE(dropped.has_error());
    BOOST_TEST((dropped.error().verdict == Verdict::MayHaveRun));
    arm(R"({"point":"table-commit","action":"mute"})");
    // Leaves an open connection in the client's pool, so that the deadline cannot pass before the request is sent.
    BOOST_TEST(!row("head").has_value());
    auto muted = put("head", 1, 0, clock.now() + 50ms);
    BOOST_REQUIRE(muted.has_error());
    BOOST_TEST((muted.error().code == Errc::Timeout));
    BOOST_TEST((muted.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(!row("head").has_value());
    BOOST_TEST(state.standin.entries().empty());
}

BOOST_AUTO_TEST_CASE(RefuseReportsNotRunUntilFaultsAreCleared)
{
    for (const auto* it : { "table-read", "table-commit", "object-get", "object-put", "instances", "weights" })
        arm(R"({"point":")" + std::string(it) + R"(","action":"refuse","count":1000000})");
    auto version = put("head", 1, 0);
    BOOST_REQUIRE(version.has_error());
    BOOST_TEST((version.error().code == Errc::Unavailable));
    BOOST_TEST((version.error().verdict == Verdict::NotRun));
    BOOST_TEST(runAwaitable(context, objects.put("content", SteadyTime::max())).has_error());
    BOOST_TEST(runAwaitable(context, objects.get("digest", SteadyTime::max())).has_error());
    BOOST_TEST(runAwaitable(context, instances.list(SteadyTime::max())).has_error());
    const auto response = call(address, "GET", "/weights/libretto-7b/1");
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.headers.find("X-Not-Started").value_or("") == "1");
    BOOST_TEST(call(faultAddress, "DELETE", "/faults").status == 200U);
    BOOST_TEST(put("head", 1, 0).has_value());
    BOOST_TEST(runAwaitable(context, instances.list(SteadyTime::max())).has_value());
}

// Guards against a fault for one row that also affects transactions on other rows.
BOOST_AUTO_TEST_CASE(FaultAppliesOnlyToMatchingRow)
{
    arm(R"({"point":"table-commit","action":"refuse","match":"config/head"})");
    BOOST_TEST(put("other", 1, 0).has_value());
    BOOST_TEST(put("head", 1, 0).has_error());
    BOOST_TEST(put("head", 1, 0).has_value());
    arm(R"({"point":"table-read","action":"refuse","match":"config/head"})");
    BOOST_TEST(row("other").has_value());
    BOOST_TEST(call(address, "GET", "/tables/config/rows/head").status == 503U);
}

BOOST_AUTO_TEST_CASE(DelayedRequestSucceeds)
{
    arm(R"({"point":"object-put","action":"delay","delay_ms":1})");
    BOOST_TEST(runAwaitable(context, objects.put("content", SteadyTime::max())).has_value());
    BOOST_TEST(!state.standin.consumeFault("object-put").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Objects, PlatformFixture)

BOOST_AUTO_TEST_CASE(ReturnWhatWasPutAndLogIt)
{
    const auto digest = runAwaitable(context, objects.put("content", SteadyTime::max())).value();
    BOOST_TEST(runAwaitable(context, objects.get(digest, SteadyTime::max())).value().value() == "content");
    BOOST_TEST(!runAwaitable(context, objects.get("absent", SteadyTime::max())).value().has_value());
    BOOST_REQUIRE(state.standin.entries().size() == 2U);
    BOOST_TEST((state.standin.entries()[0].at("event") == "object-put"));
    BOOST_TEST((state.standin.entries()[1].at("event") == "object-get"));
    BOOST_TEST((state.standin.entries()[1].at("digest") == digest));
}

BOOST_AUTO_TEST_CASE(RejectContentOfAnotherDigest)
{
    BOOST_TEST(call(address, "PUT", "/objects/" + sha256Hex("a"), "b").status == 400U);
    BOOST_TEST(state.standin.entries().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Instances, PlatformFixture)

// Guards against a public list that shows a change too early or too late, or includes a later change along with it.
BOOST_AUTO_TEST_CASE(PublicListLags)
{
    const auto count = [&] { return runAwaitable(context, instances.list(SteadyTime::max())).value().size(); };
    const std::string record
        = R"({"role":"engine","host":"127.0.0.1","port":8200,"zone":"zg-1","state":"live","incarnation":1})";
    BOOST_TEST(call(faultAddress, "PUT", "/instances/d1", record).status == 200U);
    clock.advance(200ms);
    BOOST_TEST(call(faultAddress, "PUT", "/instances/d2", record).status == 200U);
    BOOST_TEST(count() == 0U);
    clock.advance(100ms);
    BOOST_TEST(count() == 1U);
    BOOST_TEST(call(faultAddress, "DELETE", "/instances/d1").status == 200U);
    BOOST_TEST(call(faultAddress, "DELETE", "/instances/d1").status == 404U);
    BOOST_TEST(json::parse(call(faultAddress, "GET", "/instances").body).at("instances").size() == 1U);
    clock.advance(200ms);
    BOOST_TEST(count() == 2U);
    clock.advance(100ms);
    BOOST_TEST(count() == 1U);
}

BOOST_AUTO_TEST_CASE(RejectMalformedRecords)
{
    for (const auto* it : { "", "[]", "{}", R"({"id":"d2","role":"engine"})",
             R"({"role":"engine","host":"127.0.0.1","port":"x","zone":"zg-1","state":"live","incarnation":1})" })
        BOOST_TEST(call(faultAddress, "PUT", "/instances/d1", it).status == 400U, it);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Weights, PlatformFixture)

BOOST_AUTO_TEST_CASE(AnswerAndLogALoad)
{
    const auto response = call(address, "GET", "/weights/libretto-7b/2");
    BOOST_TEST(response.status == 200U);
    BOOST_TEST((json::parse(response.body) == json::parse(R"({"model":"libretto-7b","version":"2"})")));
    BOOST_REQUIRE(state.standin.entries().size() == 1U);
    BOOST_TEST((state.standin.entries()[0].at("event") == "weights"));
}

// Guards against loads that never complete because the completion of another load does not wake them.
BOOST_AUTO_TEST_CASE(OverlappingLoadsAllEnd)
{
    WeightStore store(systemClock, { .rateMilli = 0, .concurrency = 1, .loadTime = 1ms });
    int ended = 0;
    for (int i = 0; i < 5; ++i)
        boost::asio::co_spawn(context, store.load(), [&](std::exception_ptr) { ++ended; });
    while (ended < 5)
        context.run_one();
    BOOST_TEST(ended == 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
