#include "scripted_server.h"

#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_FIXTURE_TEST_SUITE(PlatformServices, ScriptedServerFixture)

// Guards against a start without one of the addresses, which would fail only at the first call.
BOOST_AUTO_TEST_CASE(EveryAddressIsRequired)
{
    const std::vector<std::string> arguments { "--table-service-address=127.0.0.1:1",
        "--object-store-address=127.0.0.1:2", "--instance-list-address=127.0.0.1:3" };
    BOOST_TEST(parseSettings(platformSettings(), arguments, {}).settings.has_value());
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        auto incomplete = arguments;
        incomplete.erase(incomplete.begin() + static_cast<std::ptrdiff_t>(i));
        const auto outcome = parseSettings(platformSettings(), incomplete, {});
        BOOST_TEST(!outcome.settings.has_value());
        BOOST_TEST(outcome.error.find(arguments[i].substr(2, arguments[i].find('=') - 2)) != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(BindingsUseTheAddressesOfTheSettings)
{
    const auto text = address.toString();
    std::map<std::string, std::string> values { { "table-service-address", text }, { "object-store-address", text },
        { "instance-list-address", text } };
    ServiceRegistry registry(context);
    registry.add(std::make_unique<RuntimeService>(Settings(values), clock, InstanceIdentity()));
    registry.add(std::make_unique<HttpClientService>());
    registry.add(std::make_unique<PlatformService>());
    registry.startAll();
    auto& platform = registry.find<PlatformService>("platform");
    respondWith(404, "");
    BOOST_TEST(runAwaitable(context, platform.tables().read({ .table = "t", .key = "k" }, noDeadline)).has_value());
    BOOST_TEST(runAwaitable(context, platform.objects().get("d", noDeadline)).has_value());
    respondWith(200, R"({"instances":[]})");
    BOOST_TEST(runAwaitable(context, platform.instances().list(noDeadline)).has_value());
    BOOST_REQUIRE(requests.size() == 3U);
    BOOST_TEST(requests[0].line == "GET /tables/t/rows/k");
    BOOST_TEST(requests[1].line == "GET /objects/d");
    BOOST_TEST(requests[2].line == "GET /instances");
    runAwaitable(context, registry.stopAll());
}

BOOST_AUTO_TEST_SUITE_END()
