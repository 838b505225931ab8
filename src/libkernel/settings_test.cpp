#include "bulrushstack/kernel/settings.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

std::vector<SettingSpec> exampleSpecs()
{
    return {
        { .name = "listen-address", .kind = SettingKind::Address, .help = "address", .required = true },
        { .name = "drain-time",
            .kind = SettingKind::Duration,
            .defaultValue = "5s",
            .help = "time",
            .minimum = "1ms",
            .maximum = "1h" },
        { .name = "body-limit", .kind = SettingKind::Size, .defaultValue = "8MiB", .help = "limit", .minimum = "1KiB" },
        { .name = "operator-token", .kind = SettingKind::Text, .help = "token", .secret = true },
        { .name = "verbose", .kind = SettingKind::Flag, .defaultValue = "false", .help = "more logs" },
    };
}

SettingsOutcome parse(const std::vector<std::string>& arguments, const std::vector<std::string>& environment = {})
{
    return parseSettings(exampleSpecs(), arguments, environment);
}

const std::string listen = "--listen-address=127.0.0.1:80";

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsParsing)

BOOST_AUTO_TEST_SUITE(Accepted)

BOOST_AUTO_TEST_CASE(FlagOverridesVariableOverridesDefault)
{
    auto outcome
        = parse({ listen, "--drain-time=2s" }, { "BULRUSH_DRAIN_TIME=3s", "BULRUSH_BODY_LIMIT=2KiB", "PATH=/bin" });
    BOOST_REQUIRE_MESSAGE(outcome.settings, outcome.error);
    BOOST_TEST((outcome.settings->duration("drain-time") == 2s));
    BOOST_TEST(outcome.settings->size("body-limit") == 2048u);
    BOOST_TEST((outcome.settings->address("listen-address") == Address { .host = "127.0.0.1", .port = 80 }));
    BOOST_TEST(!outcome.settings->isSet("verbose"));
}

BOOST_AUTO_TEST_CASE(HelpNeedsNoRequiredSetting)
{
    auto outcome = parse({ "--help" });
    BOOST_REQUIRE(outcome.settings);
    BOOST_TEST((outcome.settings->action() == SettingsAction::Help));
}

BOOST_AUTO_TEST_CASE(SecretsAreHiddenWhenPrinted)
{
    auto outcome = parse({ listen, "--operator-token=hunter2" });
    BOOST_REQUIRE(outcome.settings);
    const std::string printed = formatSettings(exampleSpecs(), *outcome.settings);
    BOOST_TEST(printed.find("hunter2") == std::string::npos);
    BOOST_TEST(printed.find("BULRUSH_OPERATOR_TOKEN=(hidden)") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a daemon that ignores or misreads an invalid setting and starts anyway.
BOOST_AUTO_TEST_SUITE(Refused)

BOOST_AUTO_TEST_CASE(ErrorNamesSettingValueAndPermittedValues)
{
    BOOST_TEST(parse({ listen, "--drain-time=5" }).error
        == "--drain-time: '5' is not permitted; expected a duration from 1ms to 1h with unit ns, us, ms, s, m or h, "
           "such as 250ms");
    BOOST_TEST(
        parse({ listen }, { "BULRUSH_DRAIN_TIME=2h" }).error.starts_with("BULRUSH_DRAIN_TIME: '2h' is not permitted"));
    BOOST_TEST(parse({ listen, "--body-limit=1" }).error.starts_with("--body-limit: '1' is not permitted"));
    BOOST_TEST(parse({ "--listen-address=localhost:80" }).error.starts_with("--listen-address: 'localhost:80'"));
}

BOOST_AUTO_TEST_CASE(MissingUnknownAndIncompleteSettings)
{
    BOOST_TEST(parse({}).error.starts_with("--listen-address: not set"));
    BOOST_TEST(parse({ listen, "--nonsense" }).error.find("--nonsense") != std::string::npos);
    BOOST_TEST(parse({ listen, "--drain-time" }).error == "flag '--drain-time' needs a value");
    BOOST_TEST(parse({ listen }, { "BULRUSH_NONSENSE=1" }).error.find("BULRUSH_NONSENSE") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SecretsAreHiddenInErrors)
{
    std::vector<SettingSpec> specs { { .name = "key", .kind = SettingKind::Size, .help = "key", .secret = true } };
    BOOST_TEST(parseSettings(specs, { "--key=hunter2" }, {}).error.find("hunter2") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ValuesOutOfRangeOfTheType)
{
    BOOST_TEST(!parseDuration("99999999999h").has_value());
    BOOST_TEST(!parseDuration("-1s").has_value());
    BOOST_TEST(!parseSize("99999999999TiB").has_value());
    BOOST_TEST(!parseAddress("127.0.0.1:65536").has_value());
    BOOST_TEST(!parseAddress("::1:80").has_value());
    BOOST_TEST((parseAddress("[::1]:80")->toString() == "[::1]:80"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
