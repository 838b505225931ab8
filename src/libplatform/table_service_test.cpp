#include "scripted_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;
using json = nlohmann::json;
using Kind = ScriptedResponse::Kind;

namespace {

struct TableFixture : ScriptedServerFixture {
    Result<std::optional<Row>> read(const std::string& key)
    {
        return runAwaitable(context, tables.read({ .table = "config", .key = key }, noDeadline));
    }

    Result<std::vector<Row>> list(const std::string& prefix, const std::string& after, std::size_t limit)
    {
        return runAwaitable(context, tables.list("config", prefix, after, limit, noDeadline));
    }

    Result<RowVersion> commit(SteadyTime deadline = SteadyTime::max())
    {
        Transaction transaction;
        transaction.conditions.push_back({ .id = { .table = "config", .key = "head" }, .version = 3 });
        transaction.writes.push_back({ .id = { .table = "config", .key = "head" }, .value = json(7) });
        transaction.writes.push_back({ .id = { .table = "config", .key = "old" }, .value = std::nullopt });
        return runAwaitable(context, tables.commit(transaction, deadline));
    }

    /// Opens two connections by concurrent requests and leaves both in the client's pool.
    void poolTwoConnections()
    {
        respondWith(404, "{}");
        int done = 0;
        for (int i = 0; i < 2; ++i) {
            boost::asio::co_spawn(context, tables.read({ .table = "config", .key = "head" }, noDeadline),
                [&](std::exception_ptr, const Result<std::optional<Row>>&) { ++done; });
        }
        while (done < 2)
            context.run_one();
        BOOST_REQUIRE(sockets.size() == 2);
    }

    /// Makes the server stop responding on the connections opened so far; new connections get the status and body.
    void stopRespondingOnOpenConnections(unsigned status, const std::string& body)
    {
        const auto last = static_cast<int>(sockets.size());
        script = [=](const ReceivedRequest& request) {
            const auto kind = request.connection <= last ? Kind::NoResponse : Kind::Respond;
            return ScriptedResponse { .kind = kind, .status = status, .body = body };
        };
    }

    HttpTableService tables { client, address };
};

std::string rowText(const std::string& key) { return R"({"key":")" + key + R"(","version":1,"value":{}})"; }

void checkFailure(const auto& result, Errc code, Verdict verdict)
{
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST(result.error().code == code, result.error().code << " " << result.error().detail);
    BOOST_TEST((result.error().verdict == verdict), result.error().detail);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableServiceOverHttp)

BOOST_FIXTURE_TEST_SUITE(Reads, TableFixture)

// Guards against keys that change the path or the query of the request.
BOOST_AUTO_TEST_CASE(EncodeTheKey)
{
    respondWith(200, R"({"key":"a/b ?#%","version":4,"value":{"x":1}})");
    auto row = read("a/b ?#%").value();
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->version == 4U);
    BOOST_TEST(row->value.dump() == R"({"x":1})");
    BOOST_TEST(requests.at(0).line == "GET /tables/config/rows/a%2Fb%20%3F%23%25");
}

BOOST_AUTO_TEST_CASE(AbsentRowIsNoFailure)
{
    respondWith(404, "not JSON");
    auto row = read("head");
    BOOST_REQUIRE(row);
    BOOST_TEST(!row->has_value());
}

// Guards against exceptions on JSON with an unexpected structure, and against a response with the row of another key.
BOOST_AUTO_TEST_CASE(InvalidResponsesAreMalformed)
{
    const std::vector<std::string> bodies {
        "",
        "{",
        "null",
        "7",
        "[]",
        "{}",
        R"({"key":"head","version":1})",
        R"({"key":"head","version":"1","value":1})",
        R"({"key":"head","version":-1,"value":1})",
        R"({"key":"head","version":1.5,"value":1})",
        R"({"key":"head","version":0,"value":1})",
        R"({"key":7,"version":1,"value":1})",
        R"({"key":"other","version":1,"value":1})",
        R"({"key":"head","version":99999999999999999999,"value":1})",
        "{\"key\":\"head\",\"version\":1,\"value\":\"\xff\"}",
    };
    for (const auto& it : bodies) {
        respondWith(200, it);
        auto row = read("head");
        BOOST_REQUIRE_MESSAGE(row.has_error(), it);
        BOOST_TEST((row.error().code == Errc::Malformed), it);
    }
}

// Guards against a stack overflow: nlohmann::json copies and serializes values recursively.
BOOST_AUTO_TEST_CASE(DeepNestingIsMalformed)
{
    const std::string nested = std::string(100000, '[') + std::string(100000, ']');
    respondWith(200, R"({"key":"head","version":1,"value":)" + nested + "}");
    checkFailure(read("head"), Errc::Malformed, Verdict::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(OutageIsUnavailable)
{
    respondWith(503, "{}");
    checkFailure(read("head"), Errc::Unavailable, Verdict::NotRun);
    BOOST_TEST(requests.size() == 1U);
}

// Guards against a read that fails because its pooled connection was lost while a new one works.
BOOST_AUTO_TEST_CASE(LostConnectionIsRetriedOnceOnANewOne)
{
    script = [](const ReceivedRequest& request) {
        const auto kind = request.connection == 1 ? Kind::Close : Kind::Respond;
        return ScriptedResponse { .kind = kind, .body = rowText("head") };
    };
    BOOST_TEST(read("head").value().has_value());
    BOOST_TEST(requests.size() == 2U);
    BOOST_TEST(requests.at(1).connection == 2);
}

// Guards against endless retries to a service that closes every connection.
BOOST_AUTO_TEST_CASE(SecondLossIsAFailure)
{
    script = [](const ReceivedRequest&) { return ScriptedResponse { .kind = Kind::Close }; };
    checkFailure(read("head"), Errc::Unavailable, Verdict::MayHaveRun);
    BOOST_TEST(requests.size() == 2U);
}

// Guards against a truncated response that is taken for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedResponseIsAFailure)
{
    script = [](const ReceivedRequest&) { return ScriptedResponse { .body = rowText("head"), .unsentBody = " " }; };
    checkFailure(read("head"), Errc::Unavailable, Verdict::MayHaveRun);
}

// Guards against pooled connections that stopped responding: each read would wait until its deadline and fail.
BOOST_AUTO_TEST_CASE(UnresponsiveConnectionIsReplaced)
{
    poolTwoConnections();
    stopRespondingOnOpenConnections(200, rowText("head"));
    BOOST_TEST(read("head").value().has_value());
    BOOST_TEST(read("head").value().has_value());
    BOOST_TEST(requests.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Lists, TableFixture)

// Guards against a list that ends early, repeats rows or skips rows at the end of a page.
BOOST_AUTO_TEST_CASE(ContinueAfterTheLastKeyOfAPage)
{
    std::vector<std::string> keys;
    for (int i = 1000; i < 1700; ++i)
        keys.push_back("k/" + std::to_string(i));
    script = [&](const ReceivedRequest& request) {
        const auto target = request.line.substr(4);
        const auto query = target.substr(target.find('?') + 1);
        const auto after = queryParameter(query, "after").value();
        const auto limit = std::stoul(queryParameter(query, "limit").value());
        BOOST_TEST(queryParameter(query, "prefix").value() == "k/");
        std::string rows;
        std::size_t count = 0;
        for (const auto& it : keys) {
            if (it > after && count++ < limit)
                rows += (rows.empty() ? "" : ",") + rowText(it);
        }
        return ScriptedResponse { .body = R"({"rows":[)" + rows + "]}" };
    };
    auto rows = list("k/", "k/1009", 600).value();
    BOOST_REQUIRE(rows.size() == 600U);
    BOOST_TEST(rows.front().id.key == "k/1010");
    BOOST_TEST(rows.back().id.key == "k/1609");
    BOOST_TEST(list("k/", "", 10000).value().size() == 700U);
    BOOST_TEST(list("k/", "", 0).value().empty());
}

// Guards against rows outside the requested range, and against endless paging when rows are repeated.
BOOST_AUTO_TEST_CASE(InvalidPagesAreMalformed)
{
    const std::vector<std::string> bodies {
        "{}",
        "[]",
        R"({"rows":{}})",
        R"({"rows":[7]})",
        R"({"rows":[null]})",
        R"({"rows":[)" + rowText("other") + "]}",
        R"({"rows":[)" + rowText("k1") + "]}",
        R"({"rows":[)" + rowText("k3") + "," + rowText("k2") + "]}",
        R"({"rows":[)" + rowText("k2") + "," + rowText("k2") + "]}",
        R"({"rows":[)" + rowText("k2") + "," + rowText("k3") + "," + rowText("k4") + "]}",
    };
    for (const auto& it : bodies) {
        respondWith(200, it);
        auto rows = list("k", "k1", 2);
        BOOST_REQUIRE_MESSAGE(rows.has_error(), it);
        BOOST_TEST((rows.error().code == Errc::Malformed), it);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Commits, TableFixture)

BOOST_AUTO_TEST_CASE(SendConditionsWritesAndDeletions)
{
    respondWith(200, R"({"version":12})");
    BOOST_TEST(commit().value() == 12U);
    BOOST_TEST(requests.at(0).line == "POST /transactions");
    const auto expected = json::parse(R"({"conditions":[{"table":"config","key":"head","version":3}],
        "writes":[{"table":"config","key":"head","value":7},{"table":"config","key":"old","delete":true}]})");
    BOOST_TEST((json::parse(requests.at(0).body) == expected));
}

BOOST_AUTO_TEST_CASE(ConflictDidNotRun)
{
    respondWith(409, R"({"conflicts":[{"table":"config","key":"head","version":5}]})");
    auto version = commit();
    checkFailure(version, Errc::Conflict, Verdict::NotRun);
    BOOST_TEST(version.error().detail == "a condition does not hold; config/head has version 5");
    respondWith(409, R"({"conflicts":[7,{"table":1}]})");
    checkFailure(commit(), Errc::Conflict, Verdict::NotRun);
}

BOOST_AUTO_TEST_CASE(OutageAndRejectionDidNotRun)
{
    respondWith(503, "");
    checkFailure(commit(), Errc::Unavailable, Verdict::NotRun);
    respondWith(400, "");
    checkFailure(commit(), Errc::InvalidArgument, Verdict::NotRun);
}

// Guards against the verdict NotRun for a response that does not show whether the commit took effect.
BOOST_AUTO_TEST_CASE(AmbiguousResponsesMayHaveRun)
{
    respondWith(500, "");
    checkFailure(commit(), Errc::Unavailable, Verdict::MayHaveRun);
    respondWith(302, "");
    checkFailure(commit(), Errc::Malformed, Verdict::MayHaveRun);
    for (const auto* it : { "", "{}", R"({"version":"12"})", R"({"version":-1})", R"({"version":0})", "[12]" }) {
        respondWith(200, it);
        checkFailure(commit(), Errc::Malformed, Verdict::MayHaveRun);
    }
}

// Guards against a commit that is sent twice, and against the verdict NotRun for one that may have taken effect.
BOOST_AUTO_TEST_CASE(LostConnectionMayHaveRunAndIsNotRetried)
{
    script = [](const ReceivedRequest&) { return ScriptedResponse { .kind = Kind::Close }; };
    checkFailure(commit(), Errc::Unavailable, Verdict::MayHaveRun);
    BOOST_TEST(requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionDidNotRun)
{
    acceptor.close();
    checkFailure(commit(), Errc::Unavailable, Verdict::NotRun);
}

// Guards against a commit that blocks beyond its deadline, and against the next one on another unresponsive connection.
BOOST_AUTO_TEST_CASE(UnresponsiveCommitEndsAtTheDeadlineAndRetiresThePool)
{
    poolTwoConnections();
    stopRespondingOnOpenConnections(200, R"({"version":12})");
    checkFailure(commit(deadlineIn(50ms)), Errc::Timeout, Verdict::MayHaveRun);
    BOOST_TEST(commit(deadlineIn(5s)).has_value());
    BOOST_TEST(sockets.size() == 3U);
}

// Guards against a write on a connection that may have been lost while it was idle.
BOOST_AUTO_TEST_CASE(LongIdleConnectionIsNotUsed)
{
    respondWith(200, R"({"version":12})");
    BOOST_TEST(commit().value() == 12U);
    clock.advance(2s);
    BOOST_TEST(commit().value() == 12U);
    BOOST_TEST(requests.at(1).connection == 2);
}

// Guards against an exception from the coroutine for text that JSON cannot represent.
BOOST_AUTO_TEST_CASE(TextThatIsNotUtf8DidNotRun)
{
    Transaction transaction;
    transaction.writes.push_back({ .id = { .table = "config", .key = "\xff" }, .value = json(1) });
    checkFailure(runAwaitable(context, tables.commit(transaction, noDeadline)), Errc::InvalidArgument, Verdict::NotRun);
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
