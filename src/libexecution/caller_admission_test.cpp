#include "caller_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct AdmissionFixture {
    ConfigurationPtr configuration = testConfiguration();
    RequestContext context = std::get<RequestContext>(admit({ { "Authorization", "Bearer token-a" } }));

    AdmissionResult<RequestContext> admit(HttpHeaders headers) const
    {
        return admitRequest(configuration, headers, "id", SteadyTime(1h));
    }

    /// Admits a request with a valid token and the given headers. Returns the problem code, or an empty string on
    /// success.
    std::string codeOfHeaders(HttpHeaders headers) const
    {
        headers.add("Authorization", "Bearer token-a");
        return codeOf(admit(std::move(headers)));
    }

    AdmissionResult<ModelRequest> admitBody(std::string body, std::string_view path = "/v1/completions") const
    {
        return admitModelRequest(context, path, std::move(body), BodyLimits { .maxNestingDepth = 8, .maxTokens = 100 });
    }

    std::string detailOf(std::string body, std::string_view path = "/v1/completions") const
    {
        auto outcome = admitBody(std::move(body), path);
        const auto* problem = std::get_if<Problem>(&outcome);
        return problem && problem->code == ProblemCode::MalformedRequest ? problem->detail : "admitted or another code";
    }

    AdmissionResult<ServiceRequest> admitTarget(std::string target, HttpHeaders headers = {}) const
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(target);
        request.headers = std::move(headers);
        return admitServiceRequest(context, request);
    }

    template <typename T> static std::string codeOf(const AdmissionResult<T>& outcome)
    {
        const auto* problem = std::get_if<Problem>(&outcome);
        if (!problem)
            return {};
        BOOST_TEST(!problem->detail.empty());
        BOOST_TEST((problem->verdict == Verdict::NotRun));
        return std::string(toString(problem->code));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Admission, AdmissionFixture)

BOOST_AUTO_TEST_SUITE(Headers)

// A request without a valid token must be refused, and the token alone decides the team of a request.
BOOST_AUTO_TEST_CASE(TokenIdentifiesTheTeam)
{
    BOOST_TEST(context.team->name == "zagreb");
    BOOST_TEST(codeOf(admit({})) == "missing-token");
    BOOST_TEST(codeOf(admit({ { "Authorization", "Basic dG9rZW4=" } })) == "missing-token");
    BOOST_TEST(codeOf(admit({ { "Authorization", "Bearer " } })) == "missing-token");
    BOOST_TEST(codeOf(admit({ { "Authorization", "Bearer token-c" } })) == "invalid-token");
    BOOST_TEST(codeOfHeaders({ { "authorization", "Bearer token-b" } }) == "malformed-request");
    BOOST_TEST(codeOf(admit({ { "authorization", "bearer token-b" } })).empty());
}

// A deadline header with a wrong name or value must be refused and not be ignored.
BOOST_AUTO_TEST_CASE(DeadlineIsWithinTheTemplate)
{
    BOOST_TEST((context.deadline == SteadyTime(1h + 10s)));
    auto admitted = admit({ { "Authorization", "Bearer token-a" }, { "bulrush-deadline", "1500ms" } });
    BOOST_TEST((std::get<RequestContext>(admitted).deadline == SteadyTime(1h + 1500ms)));
    for (const char* value : { "0s", "61s", "1500", "-1s", "", "soon", "99999999999999999999h" })
        BOOST_TEST(codeOfHeaders({ { "Bulrush-Deadline", value } }) == "malformed-request", value);
    BOOST_TEST(codeOfHeaders({ { "Bulrush-Dedline", "1s" } }) == "malformed-request");
    BOOST_TEST(codeOfHeaders({ { "bulrush-request-id", "1" } }) == "malformed-request");
    BOOST_TEST(codeOfHeaders({ { "Bulrush-Deadline", "1s" }, { "Bulrush-Deadline", "2s" } }) == "malformed-request");
}

BOOST_AUTO_TEST_CASE(UrgencyIsWithinTheTemplate)
{
    BOOST_TEST(codeOfHeaders({ { "Bulrush-Urgency", "live" } }).empty());
    BOOST_TEST(codeOfHeaders({ { "Bulrush-Urgency", "batch" } }) == "urgency-not-permitted");
    BOOST_TEST(codeOfHeaders({ { "Bulrush-Urgency", "urgent" } }) == "malformed-request");
}

// Keys that cannot be stored and compared reliably in the journal must be refused.
BOOST_AUTO_TEST_CASE(IdempotencyKeyIsPrintable)
{
    BOOST_TEST(codeOf(idempotencyKeyFromHeaders({ { "Idempotency-Key", std::string(128, 'k') } })).empty());
    for (const auto& value : { std::string(), std::string(129, 'k'), std::string("a\tb"), std::string("\xc3\xa9") })
        BOOST_TEST(codeOf(idempotencyKeyFromHeaders({ { "Idempotency-Key", value } })) == "malformed-request");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Bodies)

BOOST_AUTO_TEST_CASE(ValidBodiesAreUnderstoodAndKept)
{
    const std::string body = R"({"model": "own", "prompt":"Once", "stream":true, "temperature":0, "max_tokens":100})";
    const auto request = std::get<ModelRequest>(admitBody(body));
    BOOST_TEST(request.body == body);
    BOOST_TEST(request.promptPrefix == "Once");
    BOOST_TEST(request.isStream);
    BOOST_TEST(request.isDeterministic);
    for (const char* prompt : { R"(["a","b"])", "[1,2]", "[[1],[2]]" })
        BOOST_TEST(codeOf(admitBody(R"({"model":"own","stream":null,"prompt":)" + std::string(prompt) + "}")).empty());
    const auto chat = admitBody(
        R"({"model":"own","messages":[{"role":"user","content":"hi"},{"role":"assistant","content":null}]})",
        "/v1/chat/completions");
    BOOST_TEST(!std::get<ModelRequest>(chat).isStream);
    BOOST_TEST(std::get<ModelRequest>(chat).promptPrefix == "user\nhi\nassistant\n");
}

// A request whose output differs between runs must not be classified as deterministic, since a retry would then
// continue a stream with events of a different response.
BOOST_AUTO_TEST_CASE(OnlyTemperatureZeroOrASeedIsDeterministic)
{
    auto isDeterministic = [&](const std::string& fields) {
        return std::get<ModelRequest>(admitBody(R"({"model":"own","prompt":"x")" + fields + "}")).isDeterministic;
    };
    BOOST_TEST(isDeterministic(R"(,"seed":7)"));
    BOOST_TEST(isDeterministic(R"(,"temperature":0.0)"));
    BOOST_TEST(!isDeterministic(""));
    BOOST_TEST(!isDeterministic(R"(,"temperature":0.1)"));
    BOOST_TEST(!isDeterministic(R"(,"temperature":0,"n":2)"));
    BOOST_TEST(!isDeterministic(R"(,"seed":null)"));
}

// The detail of the problem must say which field is wrong, its type or value, and what is permitted.
BOOST_AUTO_TEST_CASE(MalformedFieldsAreNamed)
{
    struct Case {
        const char* body;
        const char* detail;
    };
    for (const auto& [body, detail] : {
             Case { "", "the body is not valid JSON at byte 1" },
             { "{\"model\":\"own\",\"prompt\":\"\xff\"}", "the body is not valid JSON at byte 26" },
             { "[]", "the body is of type array; permitted is an object" },
             { R"({"prompt":"x"})", "the field 'model' is missing; permitted is a string" },
             { R"({"model":7,"prompt":"x"})", "the field 'model' is of type number; permitted is a string" },
             { R"({"model":"own","prompt":"x","stream":"yes"})",
                 "the field 'stream' is of type string; permitted is true or false" },
             { R"({"model":"own","prompt":"x","max_tokens":"5"})",
                 "the field 'max_tokens' is of type string; permitted is a whole number from 1 to 100" },
             { R"({"model":"own","prompt":"x","max_tokens":1.5})",
                 "the field 'max_tokens' is of type number; permitted is a whole number from 1 to 100" },
             { R"({"model":"own","prompt":"x","max_tokens":0})",
                 "the field 'max_tokens' is 0; permitted is a whole number from 1 to 100" },
             { R"({"model":"own","prompt":"x","max_tokens":-4})",
                 "the field 'max_tokens' is -4; permitted is a whole number from 1 to 100" },
             { R"({"model":"own","prompt":"x","max_tokens":101})",
                 "the field 'max_tokens' is 101; permitted is a whole number from 1 to 100" },
             { R"({"model":"own","prompt":"x","temperature":"0"})",
                 "the field 'temperature' is of type string; permitted is a number" },
             { R"({"model":"own","prompt":"x","seed":0.5})",
                 "the field 'seed' is of type number; permitted is a whole number" },
             { R"({"model":"own","prompt":"x","a":[[[[[[[[]]]]]]]]})",
                 "the body is nested too deeply; permitted are 8 levels" },
         })
        BOOST_TEST(detailOf(body) == detail);
    for (const char* prompt : { "7", "[]", "{}", "null", "[1,\"a\"]", "[[]]", "[-1]" })
        BOOST_TEST(detailOf(R"({"model":"own","prompt":)" + std::string(prompt) + "}")
                       .starts_with("the field 'prompt' is of type "));
    BOOST_TEST(detailOf(R"({"model":"own"})").starts_with("the field 'prompt' is missing"));
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreNamed)
{
    auto detail = [&](const std::string& messages) {
        return detailOf(R"({"model":"own","messages":)" + messages + "}", "/v1/chat/completions");
    };
    BOOST_TEST(
        detail("{}") == "the field 'messages' is of type object; permitted is a list of messages that is not empty");
    BOOST_TEST(detail("[]") == "the field 'messages' is empty; permitted is a list of messages that is not empty");
    BOOST_TEST(detail("[1]") == "the field 'messages[0]' is of type number; permitted is an object");
    BOOST_TEST(detail("[{}]") == "the field 'messages[0].role' is missing; permitted is a string");
    BOOST_TEST(detail(R"([{"role":1}])") == "the field 'messages[0].role' is of type number; permitted is a string");
    BOOST_TEST(
        detail(R"([{"role":"user","content":5}])").starts_with("the field 'messages[0].content' is of type number"));
}

// If the field "model" is repeated, the parser of the engine may use the other value, and the request would run on a
// model of another team. Such a body must be refused.
BOOST_AUTO_TEST_CASE(RepeatedFieldIsRefused)
{
    BOOST_TEST(detailOf(R"({"model":"own","prompt":"x","model":"foreign"})").starts_with("the body has a field twice"));
    BOOST_TEST(
        detailOf(R"({"model":"own","prompt":"x","mod\u0065l":"foreign"})").starts_with("the body has a field twice"));
    BOOST_TEST(codeOf(admitBody(R"({"model":"own","prompt":"x","a":{"model":1},"b":{"model":2}})")).empty());
}

// The response must not reveal that a model of another team exists.
BOOST_AUTO_TEST_CASE(ModelOfAnotherTeamLooksUnknown)
{
    auto foreign = admitBody(R"({"model":"foreign","prompt":"x"})");
    BOOST_TEST(codeOf(foreign) == "unknown-model");
    BOOST_TEST((foreign == admitBody(R"({"model":"no-such-model","prompt":"x"})")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServicePaths)

// Equivalent spellings of a path must be normalised, since a never_repeat rule would not match the other spellings.
BOOST_AUTO_TEST_CASE(PathIsNormalised)
{
    auto target
        = [&](std::string text) { return std::get<ServiceRequest>(admitTarget(std::move(text))).request.target; };
    BOOST_TEST(target("/services/cue-board/%63ues/a%3Ab?x=%20y&z") == "/cues/a:b?x=%20y&z");
    BOOST_TEST(target("/services/cue-board/a%20b%c3%a9") == "/a%20b%C3%A9");
    BOOST_TEST(target("/services/cue-board") == "/");
}

BOOST_AUTO_TEST_CASE(BadPathsAreRefused)
{
    for (const char* path : { "a%2", "a%zz", "a%00", ".", "..", "%2e%2E", "a/../b", "a//b", "a/", "", "a%2Fb", "a%5cb",
             "a%0ab", "a?x=%q", "a#b" })
        BOOST_TEST(codeOf(admitTarget("/services/cue-board/" + std::string(path))) == "malformed-request", path);
    BOOST_TEST(codeOf(admitTarget("/services/../v1/models")) == "malformed-request");
    BOOST_TEST(codeOf(admitTarget("/services/")) == "malformed-request");
    BOOST_TEST(codeOf(admitTarget("/services/nothing/x")) == "unknown-service");
    BOOST_TEST(codeOf(admitTarget("/services/orders/x")) == "service-not-permitted");
}

// Credentials, hop-by-hop headers and forged internal headers of the caller must not reach the service.
BOOST_AUTO_TEST_CASE(HeadersOfTheCallerAreFiltered)
{
    const HttpHeaders headers { { "Authorization", "Bearer token-a" }, { "Idempotency-Key", "k-1" }, { "Host", "h" },
        { "Content-Length", "3" }, { "Transfer-Encoding", "chunked" }, { "Connection", "close, X-Hop" },
        { "X-Hop", "1" }, { "X-Fencing", "9" }, { "X-Request-Id", "forged" }, { "Bulrush-Urgency", "live" },
        { "Accept", "text/plain" } };
    const auto request = std::get<ServiceRequest>(admitTarget("/services/cue-board/cues", headers));
    BOOST_TEST((request.request.headers == HttpHeaders { { "Accept", "text/plain" } }));
    BOOST_TEST(request.idempotencyKey == "k-1");
    BOOST_TEST(
        codeOf(admitTarget("/services/cue-board/cues", { { "Idempotency-Key", "\x7f" } })) == "malformed-request");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
