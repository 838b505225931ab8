#include "bulrushstack/config/configuration_json.h"
#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/http_server.h"
#include "command_runner.h"
#include "loopback.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <sstream>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Returns predefined responses: to POST from one queue, to GET from one queue for each parent path. The last response
/// of a queue is repeated. A response with status 0 is cut off after its headers.
class ScriptedApi final : public HttpHandler {
public:
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        const auto request = exchange.request();
        if (request.method == "POST")
            posts.push_back(nlohmann::json::parse(request.body));
        if (request.target.starts_with("/operator/v1/changes/"))
            ++changeReads;
        auto& responses = request.method == "POST"
            ? postResponses
            : getResponses[request.target.substr(0, request.target.find_last_of('/'))];
        auto response = responses.empty() ? jsonResponse(404, "{}") : responses.front();
        if (responses.size() > 1)
            responses.pop_front();
        if (response.status == 0) {
            co_await exchange.beginStream(200, HttpHeaders());
            co_return;
        }
        co_await exchange.respond(std::move(response));
    }

    std::deque<HttpResponse> postResponses;
    std::map<std::string, std::deque<HttpResponse>> getResponses;
    std::vector<nlohmann::json> posts;
    int changeReads = 0;
};

struct CommandRunnerFixture {
    CommandRunnerFixture()
    {
        if (auto ec = server.start())
            throw std::system_error(ec);
        address = { .host = "127.0.0.1", .port = server.port() };
        setDocument(R"({"schema":1,"revision":4,"models":{"m":{"size":"1GiB"}},"teams":{"x":{"template":"t"}}})");
    }

    /// Sets the response to GET requests for "status", "config" and "history", which share one queue.
    void setDocument(std::string body) { api.getResponses["/operator/v1"] = { jsonResponse(200, std::move(body)) }; }

    ExitStatus run(const std::vector<std::string>& words, std::string input = {})
    {
        OperatorClientOptions clientOptions;
        clientOptions.address = address;
        clientOptions.token = "secret";
        clientOptions.maxAttempts = 3;
        clientOptions.initialRetryDelay = 1ms;
        OperatorClient client(context, clock, std::move(clientOptions));
        std::istringstream in(input);
        output.str("");
        errors.str("");
        CommandRunner runner(client, options, { .input = in, .output = output, .errors = errors });
        return runAwaitable(context, runner.run(*parseCommand(words).command));
    }

    ExitStatus applyModel() { return run({ "model", "apply", "-" }, R"({"models":{"m":{"size":"2GiB"}}})"); }

    static HttpResponse acceptedResponse(int revision)
    {
        return jsonResponse(200, R"({"change_id":"c","revision":)" + std::to_string(revision) + "}");
    }

    static HttpResponse droppedResponse()
    {
        HttpResponse response;
        response.status = 0;
        return response;
    }

    boost::asio::io_context context;
    SystemClock clock;
    ScriptedApi api;
    HttpServer server { context, loopbackOptions(), api };
    Address address;
    CommandOptions options { .waitTimeout = 0ns, .author = "ana", .templateName = {}, .parameters = {} };
    std::ostringstream output;
    std::ostringstream errors;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OperatorCommands, CommandRunnerFixture)

// Guards against sending a change without author or base revision, whose conflicts could not be detected.
BOOST_AUTO_TEST_CASE(SendsAuthorAndBaseRevision)
{
    api.postResponses = { acceptedResponse(5) };
    BOOST_TEST((applyModel() == ExitStatus::Success));
    BOOST_TEST(output.str().starts_with("accepted revision 5 change "));
    const auto change = changeFromJson(api.posts.at(0));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->author == "ana");
    BOOST_TEST(change->baseRevision == 4u);
    BOOST_TEST(change->changeId.size() == 32u);
    run({ "model", "apply", "-" }, R"({"revision":2,"models":{"m":{"size":"2GiB"}}})");
    BOOST_TEST(api.posts.at(1).at("base_revision") == 2u);
}

BOOST_AUTO_TEST_SUITE(LostResponses)

// Guards against reporting a change as failed although it was accepted and only the response was lost.
BOOST_AUTO_TEST_CASE(AreResolvedByReadingTheChangeId)
{
    api.postResponses = { droppedResponse() };
    api.getResponses["/operator/v1/changes"] = { acceptedResponse(5) };
    BOOST_TEST((applyModel() == ExitStatus::Success));
    BOOST_TEST(api.posts.size() == 1u);
}

// Guards against abandoning a change after a lost response, and against applying it twice under two ids.
BOOST_AUTO_TEST_CASE(AreRetriedWithTheSameChangeId)
{
    api.postResponses = { droppedResponse(), acceptedResponse(5) };
    BOOST_TEST((applyModel() == ExitStatus::Success));
    BOOST_TEST(api.changeReads == 1);
    BOOST_REQUIRE(api.posts.size() == 2u);
    BOOST_TEST((api.posts[0] == api.posts[1]));
}

// Guards against printing "not accepted" for a change that an earlier attempt may have applied, even if the last
// attempt certainly did not run.
BOOST_AUTO_TEST_CASE(AreReportedAsUnknownOutcome)
{
    api.postResponses = { droppedResponse(), jsonResponse(503, R"({"verdict":"not-run","detail":"down"})") };
    BOOST_TEST((applyModel() == ExitStatus::Failed));
    BOOST_TEST(errors.str().find("is unknown") != std::string::npos);
    api.postResponses = { jsonResponse(503, R"({"verdict":"not-run","detail":"down"})") };
    api.changeReads = 0;
    BOOST_TEST((applyModel() == ExitStatus::Failed));
    BOOST_TEST(errors.str().find("not accepted: down") != std::string::npos);
    BOOST_TEST(api.changeReads == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ErrorResponses)

// Guards against exit statuses from which a script cannot distinguish a conflict from another failure.
BOOST_AUTO_TEST_CASE(MapToDistinctExitStatuses)
{
    const auto competing
        = R"({"competing":[{"revision":5,"change_id":"d","author":"ivo","accepted_at":"T","digest":"","objects":[{"kind":"model","name":"m"}]}]})";
    api.postResponses = { jsonResponse(409, competing) };
    BOOST_TEST((applyModel() == ExitStatus::Conflict));
    BOOST_TEST(errors.str().find("revision 5 by ivo at T changed model m") != std::string::npos);
    BOOST_TEST(errors.str().find("-   \"size\": \"1GiB\"\n+   \"size\": \"2GiB\"") != std::string::npos);
    api.postResponses = { jsonResponse(422, R"([{"path":"/models/m","value":"v","permitted":"p"}])") };
    BOOST_TEST((applyModel() == ExitStatus::Failed));
    BOOST_TEST(errors.str().find("/models/m: 'v' is not permitted; expected p\n") != std::string::npos);
    api.getResponses["/operator/v1"] = { jsonResponse(401, R"({"title":"no token","detail":"d"})") };
    BOOST_TEST((run({ "status" }) == ExitStatus::Failed));
    BOOST_TEST((run({ "template", "apply", "-" }, "{") == ExitStatus::Failed));
    BOOST_TEST((run({ "template", "apply", "/nonexistent" }) == ExitStatus::Failed));
    runAwaitable(context, server.drain());
    BOOST_TEST((run({ "status" }) == ExitStatus::Unreachable));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NewTeams)

// Guards against sending the token itself to the instance, and against a digest that does not match the printed token.
BOOST_AUTO_TEST_CASE(GetATokenThatIsSentOnlyAsDigest)
{
    options.isJson = true;
    options.templateName = "t";
    options.parameters = { "house=split" };
    api.postResponses = { acceptedResponse(5) };
    BOOST_TEST((run({ "team", "create", "split" }) == ExitStatus::Success));
    const auto token = nlohmann::json::parse(output.str()).at("token").get<std::string>();
    BOOST_TEST(token.size() == 64u);
    const auto& value = api.posts.at(0).at("edits").at(0).at("value");
    BOOST_TEST(value.at("token_sha256").at(0) == sha256Hex(token));
    BOOST_TEST(value.at("parameters").at("house") == "split");
    BOOST_TEST(api.posts.at(0).dump().find(token) == std::string::npos);
}

// Guards against "team create" overwriting an existing team and its tokens.
BOOST_AUTO_TEST_CASE(DoNotReplaceAnExistingTeam)
{
    BOOST_TEST((run({ "team", "create", "-" }, R"({"teams":{"x":{"template":"t"}}})") == ExitStatus::Failed));
    BOOST_TEST(api.posts.empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against --wait reporting success while an instance lags, and against an exit status that hides the timeout.
BOOST_AUTO_TEST_CASE(WaitsForAllInstances)
{
    options.shouldWait = true;
    api.postResponses = { acceptedResponse(5) };
    api.getResponses["/operator/v1"] = {
        jsonResponse(200, R"({"revision":4})"),
        jsonResponse(200, R"({"instance":"a","revision":5,"peers":[{"id":"b","state":"live","revision":4}]})"),
        jsonResponse(200, R"({"instance":"a","revision":5,"peers":[{"id":"b","state":"live","revision":5}]})"),
    };
    BOOST_TEST((applyModel() == ExitStatus::WaitTimedOut));
    BOOST_TEST(errors.str().find("b at revision 4") != std::string::npos);
    BOOST_TEST((applyModel() == ExitStatus::Success));
    BOOST_TEST(output.str().find("in force") != std::string::npos);
}

// Guards against --wait reporting success on the basis of an instance list that was read before the change was accepted
// and may lack instances that serve the previous revision.
BOOST_AUTO_TEST_CASE(WaitsForAnInstanceListAfterTheChange)
{
    options.shouldWait = true;
    api.postResponses = { acceptedResponse(5) };
    api.getResponses["/operator/v1"] = {
        jsonResponse(200, R"({"revision":4})"),
        jsonResponse(200, R"({"instance":"a","revision":5,"peers":[],"instances_age_ms":null})"),
        jsonResponse(200, R"({"instance":"a","revision":5,"peers":[],"instances_age_ms":9000000})"),
    };
    BOOST_TEST((applyModel() == ExitStatus::WaitTimedOut));
    BOOST_TEST(errors.str().find("instance list is older") != std::string::npos);
    BOOST_TEST((applyModel() == ExitStatus::WaitTimedOut));
    api.getResponses["/operator/v1"] = {
        jsonResponse(200, R"({"revision":4})"),
        jsonResponse(200, R"({"instance":"a","revision":5,"peers":[],"instances_age_ms":0})"),
    };
    BOOST_TEST((applyModel() == ExitStatus::Success));
}

// Guards against printing an object without the revision on which later edits are based.
BOOST_AUTO_TEST_CASE(ShowsObjectsInFileFormat)
{
    BOOST_TEST((run({ "team", "show", "x" }) == ExitStatus::Success));
    BOOST_TEST((nlohmann::json::parse(output.str())
        == nlohmann::json::parse(R"({"revision":4,"teams":{"x":{"template":"t"}}})")));
    BOOST_TEST((run({ "team", "show", "y" }) == ExitStatus::Failed));
    BOOST_TEST((run({ "model", "list" }) == ExitStatus::Success));
    BOOST_TEST(output.str().find("1GiB") != std::string::npos);
    BOOST_TEST((run({ "template", "diff", "t", "-" }, R"({"templates":{"t":{"share":2}}})") == ExitStatus::Success));
    BOOST_TEST(output.str().find("+   \"share\": 2") != std::string::npos);
}

// Guards against history entries for objects of other names or kinds.
BOOST_AUTO_TEST_CASE(FiltersHistoryByKindAndName)
{
    setDocument(
        R"([{"revision":2,"change_id":"c2","author":"a","accepted_at":"T","digest":"","objects":[{"kind":"template","name":"t"}]},
                  {"revision":1,"change_id":"c1","author":"a","accepted_at":"T","digest":"","objects":[{"kind":"team","name":"t"}]}])");
    BOOST_TEST((run({ "template", "history", "t" }) == ExitStatus::Success));
    BOOST_TEST(output.str().find("c2") != std::string::npos);
    BOOST_TEST(output.str().find("c1") == std::string::npos);
    run({ "config", "history" });
    BOOST_TEST(output.str().find("c1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
