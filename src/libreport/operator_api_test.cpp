#include "bulrushstack/config/configuration_json.h"
#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/http_client.h"
#include "loopback.h"
#include "memory_platform.h"
#include "operator_api.h"

#include <boost/test/unit_test.hpp>
#include <prometheus/counter.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Backend with fixed peers and upstreams.
class FakeBackend final : public OperatorBackend {
public:
    explicit FakeBackend(ConfigurationStore& store)
        : m_store(store)
    {
    }

    ConfigurationPtr configuration() const override { return current; }
    bool activateConfiguration(ConfigurationPtr configuration) override
    {
        current = std::move(configuration);
        return true;
    }
    ConfigurationStore& store() override { return m_store; }
    std::vector<PeerView> peers() const override { return peerViews; }
    std::chrono::nanoseconds instanceListAge() const override { return listAge; }
    UpstreamSnapshot upstreams() const override { return upstreamViews; }

    ConfigurationPtr current = Configuration::empty();
    std::vector<PeerView> peerViews;
    UpstreamSnapshot upstreamViews;
    std::chrono::nanoseconds listAge = std::chrono::nanoseconds::max();

private:
    ConfigurationStore& m_store;
};

/// The operator API on a loopback port with an in-memory configuration store.
struct OperatorApiFixture {
    OperatorApiFixture()
    {
        if (auto ec = server.start())
            throw std::system_error(ec);
    }

    HttpResponse call(std::string method, std::string target, std::string body = {},
        HttpHeaders headers = { { "Authorization", "Bearer secret" } })
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        request.headers = std::move(headers);
        const Address address { .host = "127.0.0.1", .port = server.port() };
        return *runAwaitable(context, client.call(address, std::move(request)));
    }

    nlohmann::json get(std::string target)
    {
        const auto response = call("GET", std::move(target));
        BOOST_REQUIRE(response.status == 200u);
        return nlohmann::json::parse(response.body);
    }

    static ConfigurationChange modelChange(std::string id, std::uint64_t base, std::string size)
    {
        const nlohmann::json model { { "kind", "model" }, { "version", "1" }, { "size", std::move(size) } };
        return { .changeId = std::move(id),
            .author = "ana",
            .baseRevision = base,
            .edits = { { .kind = "model", .name = "m", .value = model } } };
    }

    HttpResponse post(const ConfigurationChange& change)
    {
        return call("POST", "/operator/v1/changes", toJson(change).dump());
    }

    boost::asio::io_context context;
    SystemClock clock;
    MemoryTableService tables;
    MemoryObjectStore objects;
    ConfigurationStore store { tables, objects, clock };
    RuntimeService runtime { Settings(), clock, { .id = "a", .zone = "z", .incarnation = 1 } };
    FakeBackend backend { store };
    OperatorApi api { runtime, backend, "secret" };
    HttpServer server { context, loopbackOptions(), api };
    HttpClient client { context, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OperatorApiRequests, OperatorApiFixture)

// Guards against executing operations without the operators' token.
BOOST_AUTO_TEST_CASE(RequireTheOperatorToken)
{
    for (const char* target :
        { "/operator/v1/status", "/operator/v1/config", "/operator/v1/changes/x", "/operator/v1/history", "/other" }) {
        BOOST_TEST(call("GET", target, "", {}).status == 401u);
        for (const char* value :
            { "Bearer wrong", "Bearer  secret", "Bearer ", "Basic secret", "secret", "Bearer secretsecret" })
            BOOST_TEST(call("GET", target, "", { { "Authorization", value } }).status == 401u, value);
    }
    BOOST_TEST(call("POST", "/operator/v1/changes", toJson(modelChange("c", 0, "1GiB")).dump(), {}).status == 401u);
    BOOST_TEST(tables.commits() == 0u);
    BOOST_TEST(call("GET", "/operator/v1/status", "",
                   { { "Authorization", "Bearer wrong" }, { "Authorization", "Bearer secret" } })
                   .status
        == 401u);
}

// Guards against requiring the operators' token for metrics scrapes.
BOOST_AUTO_TEST_CASE(ServeMetricsWithoutToken)
{
    prometheus::BuildCounter().Name("some_total").Help("h").Register(runtime.metrics()).Add({}).Increment(3);
    const auto response = call("GET", "/metrics", "", {});
    BOOST_TEST(response.status == 200u);
    BOOST_TEST(response.body.find("some_total 3") != std::string::npos);
}

// Guards against a status that lists this instance among its peers, or models that are not ready.
BOOST_AUTO_TEST_CASE(ReturnTheStatus)
{
    runtime.setReady("membership", false, "no list");
    for (const char* id : { "a", "b" }) {
        PeerView peer;
        peer.record = {
            .id = id, .service = {}, .address = {}, .zone = "z", .state = InstanceState::Leaving, .incarnation = 4
        };
        peer.revision = 3;
        peer.age = 1500ms;
        backend.peerViews.push_back(peer);
    }
    UpstreamView upstream;
    upstream.record
        = { .id = "e", .role = InstanceRole::Engine, .service = {}, .address = {}, .zone = "z", .incarnation = 2 };
    upstream.inFlight = 5;
    upstream.resident = { { .model = "m", .version = "1", .state = ResidentState::Ready },
        { .model = "n", .version = "1", .state = ResidentState::Loading } };
    backend.upstreamViews = { upstream };
    backend.listAge = 40ms + 1ns;
    const auto status = get("/operator/v1/status");
    BOOST_TEST(status.at("instance") == "a");
    BOOST_TEST(status.at("ready") == false);
    BOOST_TEST(status.at("revision") == 0u);
    BOOST_TEST(status.at("digest") == Configuration::empty()->digest());
    BOOST_TEST(status.at("instances_age_ms") == 41);
    BOOST_TEST((status.at("peers")
        == nlohmann::json::parse(
            R"([{"id":"b","zone":"z","state":"leaving","incarnation":4,"revision":3,"age_ms":1500}])")));
    BOOST_TEST((status.at("upstreams")
        == nlohmann::json::parse(
            R"([{"id":"e","role":"engine","zone":"z","state":"live","incarnation":2,"in_flight":5,"models":["m"]}])")));
}

// Guards against an accepted change that this instance activates only at its next poll, or that is not recorded.
BOOST_AUTO_TEST_CASE(ActivateAnAcceptedChangeImmediately)
{
    const auto response = post(modelChange("c1", 0, "1GiB"));
    BOOST_TEST(response.status == 200u);
    BOOST_TEST((nlohmann::json::parse(response.body) == nlohmann::json { { "revision", 1 }, { "change_id", "c1" } }));
    BOOST_TEST(get("/operator/v1/config").at("models").at("m").at("size") == "1GiB");
    BOOST_TEST(get("/operator/v1/changes/c1").at("revision") == 1u);
    BOOST_TEST(call("GET", "/operator/v1/changes/c2").status == 404u);
    post(modelChange("c2", 1, "2GiB"));
    const auto history = get("/operator/v1/history");
    BOOST_TEST(history.size() == 2u);
    BOOST_TEST(history.at(0).at("change_id") == "c2");
    BOOST_TEST(get("/operator/v1/history?limit=1").size() == 1u);
    BOOST_TEST(call("GET", "/operator/v1/history?limit=0").status == 400u);
}

// Guards against exposing token digests in the configuration document.
BOOST_AUTO_TEST_CASE(RedactTokenDigests)
{
    auto change = modelChange("c1", 0, "1GiB");
    change.edits.push_back({ .kind = "template",
        .name = "t",
        .value = nlohmann::json::parse(
            R"({"models":["m"],"urgency":{"default":"live","permitted":["live"]},"deadline":{"default":"1s","max":"1s"}})") });
    change.edits.push_back({ .kind = "team",
        .name = "x",
        .value = nlohmann::json { { "template", "t" }, { "token_sha256", { sha256Hex("token") } } } });
    BOOST_TEST(post(change).status == 200u);
    const auto response = call("GET", "/operator/v1/config");
    BOOST_TEST(response.body.find(sha256Hex("token")) == std::string::npos);
    BOOST_TEST(response.body.find("(redacted)") != std::string::npos);
}

// Guards against a conflict response that does not say who changed which object.
BOOST_AUTO_TEST_CASE(ReportTheCompetingChange)
{
    post(modelChange("c1", 0, "1GiB"));
    const auto response = post(modelChange("c2", 0, "2GiB"));
    BOOST_TEST(response.status == 409u);
    const auto document = nlohmann::json::parse(response.body);
    BOOST_TEST(document.at("detail") == "revision 1 by ana changed model m");
    BOOST_TEST(document.at("competing").at(0).at("revision") == 1u);
    BOOST_TEST(document.at("competing").at(0).at("author") == "ana");
}

// Guards against validation problems that a client cannot parse individually.
BOOST_AUTO_TEST_CASE(ListValidationProblems)
{
    const auto response = post(modelChange("c1", 0, "much"));
    BOOST_TEST(response.status == 422u);
    const auto problems = validationErrorsFromJson(nlohmann::json::parse(response.body));
    BOOST_REQUIRE((problems && problems->size() == 1u));
    BOOST_TEST(problems->front().path == "/models/m/size");
    BOOST_TEST(problems->front().value == "much");
}

// Guards against accepting a malformed body as a change, and against a stack overflow caused by deep nesting.
BOOST_AUTO_TEST_CASE(RejectMalformedBodies)
{
    const auto change = toJson(modelChange("c1", 0, "1GiB"));
    std::vector<std::string> bodies { "", "{", "[]", "null", std::string(1000000, '['), "{\"change_id\":\"\xff\"}" };
    for (const char* field : { "change_id", "author", "base_revision", "edits" }) {
        auto document = change;
        document.erase(field);
        bodies.push_back(document.dump());
        document[field] = -1;
        bodies.push_back(document.dump());
    }
    auto document = change;
    document["edit"] = 1;
    bodies.push_back(document.dump());
    document = change;
    document["edits"][0].erase("value");
    bodies.push_back(document.dump());
    for (const auto& body : bodies) {
        const auto response = call("POST", "/operator/v1/changes", body);
        BOOST_TEST(response.status == 400u, body.substr(0, 100));
        BOOST_TEST(!nlohmann::json::parse(response.body).at("detail").get<std::string>().empty());
    }
}

// Guards against a response that does not say whether the change may still take effect, or when to retry.
BOOST_AUTO_TEST_CASE(ReportTheVerdictWhenTheStoreIsUnavailable)
{
    tables.fault = [](std::string_view) { return FakeFault::Unavailable; };
    const auto down = post(modelChange("c1", 0, "1GiB"));
    BOOST_TEST(down.status == 503u);
    BOOST_TEST(down.headers.find("Retry-After").value_or("") == "1");
    BOOST_TEST(nlohmann::json::parse(down.body).at("verdict") == "not-run");
    BOOST_TEST(call("GET", "/operator/v1/history").status == 503u);
    BOOST_TEST(call("GET", "/operator/v1/changes/c1").status == 503u);
    BOOST_TEST(call("GET", "/operator/v1/config").status == 200u);
    tables.fault
        = [](std::string_view operation) { return operation == "commit" ? FakeFault::LostRequest : FakeFault::None; };
    BOOST_TEST(nlohmann::json::parse(post(modelChange("c1", 0, "1GiB")).body).at("verdict") == "may-have-run");
}

// Guards against handling an unknown path or a wrong method as if it were another.
BOOST_AUTO_TEST_CASE(RejectUnknownPathsAndMethods)
{
    BOOST_TEST(call("GET", "/operator/v1/unknown").status == 404u);
    BOOST_TEST(call("GET", "/operator/v1/changes").status == 405u);
    BOOST_TEST(call("POST", "/operator/v1/status").status == 405u);
    BOOST_TEST(call("DELETE", "/operator/v1/changes/c1").status == 405u);
    BOOST_TEST(call("POST", "/metrics").headers.find("Allow").value_or("") == "GET");
    BOOST_TEST(call("GET", "/operator/v1/changes/%zz").status == 400u);
}

BOOST_AUTO_TEST_SUITE_END()
