#include "test_experiment.h"

#include "request_builder.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace bulrushstack::load;
using namespace std::chrono_literals;
using json = nlohmann::json;

BOOST_AUTO_TEST_SUITE(Experiments)

BOOST_AUTO_TEST_CASE(ReadTheWholeDocument)
{
    const auto experiment = parseExperiment(experimentDocument());
    BOOST_TEST(experiment.seed == 7U);
    BOOST_TEST(experiment.targets.at(0).toString() == "127.0.0.1:1");
    BOOST_TEST(experiment.teams.at(0).weight == 3);
    BOOST_TEST((experiment.phases.at(1).duration == 5s));
    BOOST_TEST(experiment.phases.at(0).isPoisson);
    BOOST_TEST(!experiment.phases.at(1).isPoisson);
    BOOST_TEST(experiment.requests.at(0).className() == "batch");
    BOOST_TEST(experiment.requests.at(2).className() == "service-read");
    BOOST_TEST(experiment.requests.at(3).body == R"({"cue":1})");
}

// Guards against a misspelt member that is ignored in favour of its default, and against runs that exceed the limits.
BOOST_AUTO_TEST_CASE(RejectWrongMembersByName)
{
    const std::vector<std::pair<std::string, json>> changes {
        { "/sed", 1 },
        { "/seed", "x" },
        { "/targets", json::array() },
        { "/targets/0", "192.0.2.1:80" },
        { "/targets/0", 7 },
        { "/teams", json::object() },
        { "/teams/0/token", "" },
        { "/teams/0/weight", -1 },
        { "/phases/0/duration", "10" },
        { "/phases/0/duration", "2h" },
        { "/phases/0/rate", 1e9 },
        { "/phases/0/arrivals", "never" },
        { "/requests/0/kind", "chats" },
        { "/requests/0/model", 7 },
        { "/requests/1/urgency", "now" },
        { "/requests/2/path", "" },
        { "/requests/0/prompt_reuse", 2 },
        { "/repeats", 1000 },
        { "/requests/3/repeat", "1" },
    };
    for (const auto& [path, value] : changes) {
        auto document = experimentDocument();
        document[json::json_pointer(path)] = value;
        const auto end = path.find_last_not_of("/0123456789") + 1;
        const auto begin = path.rfind('/', end - 1) + 1;
        const auto name = path.substr(begin, end - begin);
        BOOST_CHECK_EXCEPTION(parseExperiment(document), std::runtime_error,
            [&](const std::runtime_error& error) { return std::string(error.what()).find(name) != std::string::npos; });
    }
    auto document = experimentDocument();
    document["phases"][0]["duration"] = "1h";
    BOOST_CHECK_THROW(parseExperiment(document), std::runtime_error);
    BOOST_CHECK_THROW(parseExperiment(json::array()), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(CarryTokenUrgencyAndDeadline)
{
    const auto experiment = parseExperiment(experimentDocument());
    PlannedRequest planned;
    planned.request = 1;
    const auto request = buildRequest(experiment, planned, "run");
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/v1/chat/completions");
    BOOST_TEST(request.headers.find("Authorization").value_or("") == "Bearer z");
    BOOST_TEST(request.headers.find("Bulrush-Urgency").value_or("") == "live");
    BOOST_TEST(request.headers.find("Bulrush-Deadline").value_or("") == "1500ms");
    BOOST_TEST((json::parse(request.body).at("stream") == json(true)));
}

// Guards against reuse of an idempotency key for a new request, and against a repeated request with a different key or
// body.
BOOST_AUTO_TEST_CASE(PostsHaveAFreshKeyUnlessTheyAreRepeated)
{
    const auto experiment = parseExperiment(experimentDocument());
    PlannedRequest first;
    first.request = 3;
    first.number = 1;
    auto repeated = first;
    repeated.offset = 1s;
    auto second = first;
    second.number = 2;
    const auto key = [](const HttpRequest& request) { return request.headers.find("Idempotency-Key").value_or(""); };
    const auto request = buildRequest(experiment, first, "run");
    BOOST_TEST(!key(request).empty());
    BOOST_TEST((request == buildRequest(experiment, repeated, "run")));
    BOOST_TEST(key(request) != key(buildRequest(experiment, second, "run")));
    BOOST_TEST(key(request) != key(buildRequest(experiment, first, "other run")));
}

// Guards against reused prompts without a common beginning, which would never hit a prefix cache.
BOOST_AUTO_TEST_CASE(ReusedPromptsShareTheirBeginning)
{
    const auto experiment = parseExperiment(experimentDocument());
    PlannedRequest planned;
    planned.prompt = 5;
    planned.number = 5;
    const auto prompt = [&](std::uint64_t prefix, std::uint64_t number) {
        planned.prompt = prefix;
        planned.number = number;
        const auto body = json::parse(buildRequest(experiment, planned, "run").body);
        return body.at("messages").at(0).at("content").get<std::string>();
    };
    const auto beginning = [](const std::string& text) { return text.substr(0, text.find("request")); };
    BOOST_TEST(beginning(prompt(5, 5)) == beginning(prompt(5, 6)));
    BOOST_TEST(prompt(5, 5) != prompt(5, 6));
    BOOST_TEST(beginning(prompt(5, 5)) != beginning(prompt(6, 6)));
}

BOOST_AUTO_TEST_SUITE_END()
