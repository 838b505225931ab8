#include "version_history.h"

#include "bulrushstack/kernel/clock.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(TheHistoryOfSoftwareVersions)

BOOST_AUTO_TEST_CASE(IsDecodedAsItWasEncoded)
{
    const SoftwareVersions versions { { "board", { "v1" } }, { "models", { "v1", "v2" } } };
    BOOST_TEST((decodeVersions(encodeVersions(versions)) == versions));
}

BOOST_AUTO_TEST_CASE(IsEmptyIfTheRowIsUnreadable)
{
    for (const auto* text :
        { "null", "[]", "{}", R"({"services":7})", R"({"services":{"s":7}})", R"({"services":[]})" })
        BOOST_TEST(decodeVersions(nlohmann::json::parse(text)).empty(), text);
}

// Guards against a holder that forgets the versions of its predecessor.
BOOST_AUTO_TEST_CASE(CountsAsSeenWhenItIsRead)
{
    ManualClock clock;
    UpstreamDirectory directory(clock);
    directory.apply({ .id = "u", .service = "s", .softwareVersion = "v2" });
    directory.recordVersions({ { "s", { "v1" } } });
    BOOST_TEST(directory.servicesWithSeveralVersions().count("s") == 1u);
    clock.advance(std::chrono::minutes(2));
    BOOST_TEST(directory.servicesWithSeveralVersions().empty());
}

BOOST_AUTO_TEST_SUITE_END()
