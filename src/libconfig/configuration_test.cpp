#include "bulrushstack/config/configuration.h"
#include "sample_document.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

std::vector<ValidationError> validationErrorsOf(const nlohmann::json& document)
{
    auto outcome = Configuration::parse(document);
    BOOST_TEST((outcome.configuration == nullptr) == !outcome.errors.empty());
    return outcome.errors;
}

std::vector<std::string> errorPathsOf(const nlohmann::json& document)
{
    std::vector<std::string> out;
    for (const auto& it : validationErrorsOf(document))
        out.push_back(it.path);
    std::sort(out.begin(), out.end());
    return out;
}

void checkErrorPaths(const nlohmann::json& document, const std::vector<std::string>& expected)
{
    const auto paths = errorPathsOf(document);
    BOOST_TEST(paths == expected, boost::test_tools::per_element());
}

const Team& zagreb()
{
    static const auto configuration = Configuration::parse(sampleDocument()).configuration;
    return configuration->teams().at("zagreb");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationDocument)

// Guards against values that differ from those in the document, or that a team does not get from its template.
BOOST_AUTO_TEST_CASE(GivesTeamsWhatTheirTemplateGrants)
{
    const auto configuration = Configuration::parse(sampleDocument()).configuration;
    BOOST_REQUIRE(configuration);
    BOOST_TEST(configuration->revision() == 12u);
    BOOST_TEST(configuration->digest() == sha256Hex(configuration->text()));
    const auto* team = configuration->teamByToken("zagreb-token");
    BOOST_REQUIRE(team);
    BOOST_TEST(team->name == "zagreb");
    BOOST_TEST(team->templateName == "opera-house");
    BOOST_TEST((team->models == std::set<std::string, std::less<>> { "libretto-7b", "tosca-lora" }));
    BOOST_TEST((team->permittedUrgencies == std::set { Urgency::Live, Urgency::Interactive, Urgency::Batch }));
    BOOST_TEST((team->defaultDeadline == 10s && team->maximumDeadline == 60s));
    BOOST_TEST(configuration->model("tosca-lora")->base == "libretto-7b");
    BOOST_TEST(configuration->model("libretto-7b")->size == 14ull << 30);
    BOOST_TEST(configuration->service("cue-board")->statusPath == "/status/{key}");
    BOOST_TEST(!configuration->teamByToken("other"));
    BOOST_TEST(!configuration->teamByToken(sha256Hex("zagreb-token")));
    BOOST_TEST(!configuration->team("split"));
}

// Guards against a missing initial state: before any change is accepted, instances run with an empty revision 0.
BOOST_AUTO_TEST_CASE(HasAnEmptyRevisionZero)
{
    BOOST_TEST(Configuration::empty()->revision() == 0u);
    BOOST_TEST(Configuration::empty()->teams().empty());
}

// Guards against a validation that stops at the first error, so that operators can correct only one error at a time.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsAtOnce)
{
    auto document = sampleDocument();
    document["models"]["Bad Name"] = { { "kind", "model" }, { "version", "" }, { "size", "many" } };
    document["models"]["tosca-lora"]["base"] = "absent";
    document["services"]["cue-board"]["checks_fencing"] = "yes";
    document["templates"]["opera-house"]["deadline"]["default"] = "2m";
    document["templates"]["opera-house"]["never_repeat"][0]["method"] = "GET";
    document["templates"]["opera-house"]["share"] = 0;
    document["teams"]["split"] = { { "template", "theatre" } };
    document["schema"] = 2;
    checkErrorPaths(document,
        { "/models/Bad Name", "/models/Bad Name/size", "/models/Bad Name/version", "/models/tosca-lora/base", "/schema",
            "/services/cue-board/checks_fencing", "/teams/split/template", "/templates/opera-house/deadline/default",
            "/templates/opera-house/never_repeat/0/method", "/templates/opera-house/share" });
}

// Guards against misspelt fields, such as "never_repeats", that are silently ignored.
BOOST_AUTO_TEST_CASE(RejectsUnknownFields)
{
    auto document = sampleDocument();
    document["team"] = nlohmann::json::object();
    document["models"]["libretto-7b"]["sise"] = "1GiB";
    document["templates"]["opera-house"]["never_repeats"] = nlohmann::json::array();
    document["templates"]["opera-house"]["urgency"]["max"] = "live";
    document["teams"]["zagreb"]["a/b~c"] = 1;
    checkErrorPaths(document,
        { "/models/libretto-7b/sise", "/team", "/teams/zagreb/a~1b~0c", "/templates/opera-house/never_repeats",
            "/templates/opera-house/urgency/max" });
}

// Guards against values of the wrong JSON type that throw an exception or are accepted.
BOOST_AUTO_TEST_CASE(RejectsWrongTypes)
{
    for (const char* text : { "null", "[]", "7", R"({"schema":1,"revision":-1})",
             R"({"schema":1,"revision":1,"teams":[]})", R"({"schema":1,"revision":1,"templates":{"t":7}})",
             R"({"schema":1,"revision":1,"templates":{"t":{"models":{},"parameters":[]}}})" })
        BOOST_TEST(!validationErrorsOf(nlohmann::json::parse(text)).empty(), text);
}

BOOST_AUTO_TEST_SUITE(Tokens)

// Guards against a token that identifies two teams (guarantee G9 of the design document). Digests that differ only in
// the case of their digits are equal.
BOOST_AUTO_TEST_CASE(AreUniqueAcrossTeamsWhateverTheCaseOfTheDigits)
{
    auto document = sampleDocument();
    auto digest = sha256Hex("zagreb-token");
    std::transform(
        digest.begin(), digest.end(), digest.begin(), [](char c) { return static_cast<char>(std::toupper(c)); });
    document["teams"]["split"] = { { "template", "opera-house" }, { "token_sha256", { digest } } };
    checkErrorPaths(document, { "/teams/zagreb/token_sha256/0" });
}

// Guards against tokens and digests in validation errors, which are printed and logged, wherever the document has them.
BOOST_AUTO_TEST_CASE(AreNeverPrinted)
{
    auto document = sampleDocument();
    const std::string secret = "s3cret";
    document["teams"]["zagreb"]["token_sha256"] = { secret, sha256Hex("x"), sha256Hex("x"), { { "token", secret } } };
    document["teams"]["zagreb"]["token"] = secret;
    document["teams"]["split"] = { { "template", "opera-house" }, { "token_sha256", secret } };
    document["teams"]["rijeka"] = { secret };
    document["teams"]["pula"] = secret;
    const auto errors = validationErrorsOf(document);
    BOOST_TEST(errors.size() == 7u);
    for (const auto& it : errors) {
        BOOST_TEST((it.value + it.permitted).find(secret) == std::string::npos);
        BOOST_TEST((it.value + it.permitted).find(sha256Hex("x")) == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Parameters)

// Guards against parameter references that are not expanded in some part of the template.
BOOST_AUTO_TEST_CASE(ReplaceReferencesInEveryString)
{
    auto document = sampleDocument();
    auto& body = document["templates"]["opera-house"];
    body["parameters"]["limit"] = "60s";
    body["deadline"]["max"] = "${limit}";
    body["never_repeat"][0]["path"] = "/houses/${house}/${house}";
    document["teams"]["zagreb"]["parameters"]["limit"] = "20s";
    const auto configuration = Configuration::parse(document).configuration;
    BOOST_REQUIRE(configuration);
    const auto& team = configuration->teams().at("zagreb");
    BOOST_TEST((team.maximumDeadline == 20s));
    BOOST_TEST(team.neverRepeat.at(0).path == "/houses/zagreb/zagreb");
}

// Guards against a misspelt parameter name, which would leave the default value in effect.
BOOST_AUTO_TEST_CASE(AreErrorsIfTheTemplateDoesNotDeclareThem)
{
    auto document = sampleDocument();
    document["templates"]["opera-house"]["models"][1] = "${extra}";
    document["templates"]["opera-house"]["services"][0] = "${house";
    document["teams"]["zagreb"]["parameters"]["hose"] = "x";
    checkErrorPaths(document,
        { "/teams/zagreb/parameters/hose", "/templates/opera-house/models/1", "/templates/opera-house/services/0" });
}

// Guards against a parameter value that names an undefined model and is accepted for one team, and against an error of
// one team that hides the same error of another.
BOOST_AUTO_TEST_CASE(AreCheckedForEachTeamAfterTheExpansion)
{
    auto document = sampleDocument();
    document["teams"]["zagreb"]["parameters"]["extra_model"] = "carmen-lora";
    document["teams"]["split"]
        = { { "template", "opera-house" }, { "parameters", { { "extra_model", "aida-lora" } } } };
    const auto errors = validationErrorsOf(document);
    BOOST_REQUIRE(errors.size() == 2u);
    BOOST_TEST(errors[0].path == "/templates/opera-house/models/1");
    BOOST_TEST(errors[0].value == "aida-lora");
    BOOST_TEST(errors[0].permitted.find("team split") != std::string::npos);
    BOOST_TEST(errors[1].value == "carmen-lora");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Calls)

// Guards against a request with side effects, such as a publication, order or payment, that is taken for idempotent
// (guarantee G5 of the design document). Each path reaches /cues on a service that decodes escapes or resolves dot and
// empty segments.
BOOST_DATA_TEST_CASE(CannotBypassNeverRepeatRules,
    boost::unit_test::data::make({ "/cues", "/cues/7", "/cues/", "//cues", "/./cues/7", "/x/../cues/7", "/%63ues",
        "/cu%65s/7", "/x%2F..%2Fcues", "/%2e%2e/cues", "/x/%2E%2e/cues", "/%2563ues", "/cues/../x", "/cues/%2e%2e/x",
        "/cues?x=/", "/cues#x", "/x/../../cues", "cues", "/%cues", "/cues%00" }),
    path)
{
    BOOST_TEST(!zagreb().isIdempotent("cue-board", "PUT", path));
}

// Guards against rules that match parts of segments or ignore case, and so prevent retries of idempotent requests.
BOOST_DATA_TEST_CASE(
    MatchOnlyWholeSegments, boost::unit_test::data::make({ "/", "/cuesheet", "/Cues", "/a/cues", "/search" }), path)
{
    BOOST_TEST(zagreb().isIdempotent("cue-board", "PUT", path));
}

// Guards against a POST that is taken for idempotent because its ambiguous path matches a "repeatable" rule (guarantee
// G5 of the design document).
BOOST_AUTO_TEST_CASE(AreIdempotentPostsOnlyIfEveryInterpretationOfThePathIs)
{
    const auto& team = zagreb();
    BOOST_TEST(team.isIdempotent("cue-board", "POST", "/search"));
    BOOST_TEST(team.isIdempotent("cue-board", "POST", "/search/all?q=1"));
    BOOST_TEST(!team.isIdempotent("cue-board", "PATCH", "/search"));
    for (const char* path :
        { "/cues", "/searching", "/search/../cues", "/search/%2e%2e/cues", "/x/../search", "/search/%252e%252e/cues" })
        BOOST_TEST(!team.isIdempotent("cue-board", "POST", path), path);
}

// Guards against a rule that is bypassed by a method in lower case, and against rules applied to other services.
BOOST_AUTO_TEST_CASE(DependOnMethodAndService)
{
    const auto& team = zagreb();
    BOOST_TEST(!team.isIdempotent("cue-board", "put", "/cues"));
    BOOST_TEST(!team.isIdempotent("cue-board", "post", "/cues"));
    BOOST_TEST(team.isIdempotent("cue-board", "GET", "/cues"));
    BOOST_TEST(team.isIdempotent("cue-board", "HEAD", "/cues"));
    BOOST_TEST(team.isIdempotent("cue-board", "DELETE", "/cues"));
    BOOST_TEST(team.isIdempotent("other", "PUT", "/cues"));
    BOOST_TEST(!team.isIdempotent("other", "POST", "/search"));
}

// Guards against a "repeatable" rule that overrides a more specific "never_repeat" rule.
BOOST_AUTO_TEST_CASE(PreferNeverRepeat)
{
    auto team = zagreb();
    team.neverRepeat = { { .service = "cue-board", .method = "POST", .path = "/search/replace" } };
    BOOST_TEST(team.isIdempotent("cue-board", "POST", "/search/find"));
    BOOST_TEST(!team.isIdempotent("cue-board", "POST", "/search/replace/all"));
    BOOST_TEST(team.neverRepeat[0].matches("cue-board", "POST", "/search/x/../%72eplace"));
    BOOST_TEST(!team.neverRepeat[0].matches("cue-board", "POST", "/search/replaced"));
}

// Guards against rule paths that can never match, because request paths are normalised before they are compared.
BOOST_DATA_TEST_CASE(RequireNormalisedRulePaths,
    boost::unit_test::data::make({ "cues", "/a//b", "/a/../b", "/./a", "/a?b", "/%63", "" }), path)
{
    auto document = sampleDocument();
    document["templates"]["opera-house"]["never_repeat"][0]["path"] = path;
    checkErrorPaths(document, { "/templates/opera-house/never_repeat/0/path" });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
