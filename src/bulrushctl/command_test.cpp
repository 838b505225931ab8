#include "command.h"
#include "edits.h"
#include "output_format.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(CommandLine)

// Guards against executing a command with a misspelled or missing word.
BOOST_AUTO_TEST_CASE(ParsesNounVerbAndOperands)
{
    const Command expected { .noun = "template", .verb = "diff", .operands = { "opera-house", "-" } };
    BOOST_TEST((parseCommand({ "template", "diff", "opera-house", "-" }).command == expected));
    BOOST_TEST((parseCommand({ "status" }).command == Command { .noun = "status", .verb = {}, .operands = {} }));
    BOOST_TEST((parseCommand({ "template", "history" }).command.has_value()));
    for (const std::vector<std::string>& words :
        std::vector<std::vector<std::string>> { {}, { "team" }, { "teams", "list" }, { "team", "lst" },
            { "team", "show" }, { "team", "show", "a", "b" }, { "status", "now" }, { "model", "delete", "m" } }) {
        const auto outcome = parseCommand(words);
        BOOST_TEST(!outcome.command.has_value());
        BOOST_TEST(outcome.error.find("expected") != std::string::npos);
    }
}

// Guards against keeping only the last value of a repeated --parameter flag.
BOOST_AUTO_TEST_CASE(AcceptsRepeatedParameters)
{
    std::vector<std::string> arguments { "team", "--parameter", "a=1", "create", "--parameter=b=2", "x", "--",
        "--parameter=c" };
    const auto parameters = extractParameters(arguments);
    BOOST_TEST((parameters == std::vector<std::string> { "a=1", "b=2" }));
    BOOST_TEST((arguments == std::vector<std::string> { "team", "create", "x", "--", "--parameter=c" }));
    arguments = { "--parameter" };
    BOOST_TEST(extractParameters(arguments).empty());
    BOOST_TEST(arguments.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ConfigurationFiles)

// Guards against skipping or deleting objects of a file by mistake.
BOOST_AUTO_TEST_CASE(ProduceOneEditPerObject)
{
    const auto file
        = nlohmann::json::parse(R"({"revision":7,"schema":1,"models":{"m":{"size":"1GiB"}},"teams":{"x":null}})");
    const auto edits = parseFileEdits(file, "");
    BOOST_TEST(edits.error.empty());
    BOOST_TEST((edits.baseRevision == 7u));
    const std::vector<ConfigurationEdit> expected {
        { .kind = "model", .name = "m", .value = nlohmann::json { { "size", "1GiB" } } },
        { .kind = "team", .name = "x", .value = std::nullopt }
    };
    BOOST_TEST((edits.edits == expected));
}

// Guards against silently ignoring objects of a file, and against a command that edits objects of another kind.
BOOST_AUTO_TEST_CASE(AllowOnlyKnownAndPermittedSections)
{
    for (const char* text : { "[]", "{}", R"({"team":{}})", R"({"models":[]})", R"({"models":{}})",
             R"({"revision":-1,"models":{"m":{}}})" })
        BOOST_TEST(!parseFileEdits(nlohmann::json::parse(text), "").error.empty(), text);
    const nlohmann::json models { { "models", { { "m", nlohmann::json::object() } } } };
    BOOST_TEST(!parseFileEdits(models, "templates").error.empty());
    BOOST_TEST(parseFileEdits(models, "models").error.empty());
}

// Guards against creating a team with parameters that differ from those on the command line.
BOOST_AUTO_TEST_CASE(AreNotNeededToCreateATeamFromFlags)
{
    const auto edits = makeNewTeamEdits("x", "t", { "a=1", "b=c=d", "e=" }, "digest");
    const auto expected = nlohmann::json::parse(
        R"({"template":"t","parameters":{"a":"1","b":"c=d","e":""},"token_sha256":["digest"]})");
    BOOST_TEST((edits.edits.at(0).value == expected));
    for (const std::vector<std::string>& parameters :
        std::vector<std::vector<std::string>> { { "a" }, { "=1" }, { "a=1", "a=2" } })
        BOOST_TEST(!makeNewTeamEdits("x", "t", parameters, "digest").error.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Output)

// Guards against a diff that omits a changed line.
BOOST_AUTO_TEST_CASE(ShowsChangedLines)
{
    BOOST_TEST(formatDiff("a\nb\nc\n", "a\nc\nd\n") == "  a\n- b\n  c\n+ d\n");
    BOOST_TEST(formatDiff("a\n", "a\n").empty());
    BOOST_TEST(formatObjectDiff(nullptr, { { "a", 1 } }) == "+ {\n+   \"a\": 1\n+ }\n");
}

// Guards against reporting validation problems and conflicts without the details needed to fix them.
BOOST_AUTO_TEST_CASE(FormatsProblemsAndConflicts)
{
    BOOST_TEST(formatProblems({ { .path = "/a", .value = "v", .permitted = "p" } })
        == "/a: 'v' is not permitted; expected p\n");
    const ConfigurationRecord record { .revision = 3,
        .changeId = "c",
        .author = "ana",
        .acceptedAt = "T",
        .digest = {},
        .objects = { { "model", "m" }, { "team", "y" } } };
    const std::vector<ConfigurationEdit> edits { { .kind = "model", .name = "m", .value = 2 },
        { .kind = "team", .name = "x", .value = 3 } };
    const nlohmann::json document { { "models", { { "m", 1 } } } };
    BOOST_TEST(formatConflict({ record }, edits, document)
        == "conflict: revision 3 by ana at T changed model m, team y\nmodel m, - in force, + sent:\n- 1\n+ 2\n");
}

// Guards against misaligned columns, and against crashes on documents written by another version of the software.
BOOST_AUTO_TEST_CASE(AlignsTableColumns)
{
    BOOST_TEST(formatTable({ { "A", "B" }, { "long", "x" } }) == "A     B\nlong  x\n");
    const nlohmann::json team { { "template", "t" }, { "parameters", { { "a", "1" } } },
        { "token_sha256", { "(redacted)" } } };
    const nlohmann::json document { { "teams", { { "x", team } } }, { "models", { { "m", 7 } } } };
    BOOST_TEST(
        formatObjects("teams", document) == "NAME  TEMPLATE  PARAMETERS  TOKENS\nx     t         a=1         1\n");
    BOOST_TEST(!formatObjects("templates", document).empty());
    BOOST_TEST(!formatStatus(nlohmann::json::object()).empty());
}

// Guards against --wait ending before all live instances report the revision, or waiting for instances that are
// leaving.
BOOST_AUTO_TEST_CASE(ListsLaggingInstances)
{
    const auto status = nlohmann::json::parse(R"({"instance":"a","revision":4,"peers":[
        {"id":"b","state":"live","revision":4},{"id":"c","state":"live","revision":3},{"id":"d","state":"leaving","revision":1}]})");
    BOOST_TEST((laggingInstances(status, 4) == std::vector<std::string> { "c at revision 3" }));
    BOOST_TEST(laggingInstances(status, 5).size() == 3u);
    BOOST_TEST(laggingInstances(status, 3).empty());
}

BOOST_AUTO_TEST_SUITE_END()
