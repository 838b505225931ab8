#include "bulrushstack/config/configuration_service.h"
#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"
#include "loopback.h"
#include "sample_document.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Instance with the service "configuration" and the services it depends on. Its platform is unreachable.
struct Instance {
    Instance(boost::asio::io_context& context, const Clock& clock, const std::string& id)
        : unreachable(context)
        , reservedPeer(context)
        , peerAddress(reservedPeer.address())
        , registry(context)
    {
        const auto unreachableAddress = unreachable.address().toString();
        std::vector<SettingSpec> specs;
        for (const auto& list : { runtimeSettings(), peerSettings(), platformSettings(), configurationSettings() })
            specs.insert(specs.end(), list.begin(), list.end());
        const auto outcome = parseSettings(specs,
            { "--instance-id=" + id, "--zone=z", "--peer-address=" + peerAddress.toString(), "--peer-key=key",
                "--table-service-address=" + unreachableAddress, "--object-store-address=" + unreachableAddress,
                "--instance-list-address=" + unreachableAddress },
            {});
        BOOST_REQUIRE_MESSAGE(outcome.settings, outcome.error);
        const InstanceIdentity identity { .id = id, .zone = "z", .incarnation = 1 };
        registry.add(std::make_unique<RuntimeService>(*outcome.settings, clock, identity));
        registry.add(std::make_unique<HttpClientService>());
        registry.add(std::make_unique<PeerMeshService>());
        registry.add(std::make_unique<PlatformService>());
        registry.add(std::make_unique<ConfigurationService>());
        registry.startAll();
    }

    ConfigurationService& configuration() { return registry.find<ConfigurationService>("configuration"); }
    bool isReady() { return registry.find<RuntimeService>("runtime").isReady(); }

    ReservedAddress unreachable;
    ReservedAddress reservedPeer;
    Address peerAddress;
    ServiceRegistry registry;
};

boost::asio::awaitable<void> waitForRevision(ConfigurationService& service, std::uint64_t revision)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (service.current()->revision() < revision) {
        timer.expires_after(5ms);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationServices)

// Guards against a peer message that the receiver does not understand, and against a stop() that does not complete
// while the platform is unreachable. If the revision never arrives, the test runs into the timeout of CTest.
BOOST_AUTO_TEST_CASE(ForwardRevisionsWithoutThePlatform)
{
    boost::asio::io_context context;
    SystemClock clock;
    Instance a(context, clock, "a");
    Instance b(context, clock, "b");
    BOOST_TEST(!b.isReady());
    const auto revision = Configuration::parse(sampleDocument(4)).configuration;
    BOOST_TEST(a.configuration().adoptIfNewer(revision));
    b.configuration().handleAnnouncement({ .revision = 4, .digest = revision->digest() }, a.peerAddress);
    runAwaitable(context, waitForRevision(b.configuration(), 4));
    BOOST_TEST(b.configuration().current()->digest() == revision->digest());
    runAwaitable(context, a.registry.stopAll());
    runAwaitable(context, b.registry.stopAll());
}

BOOST_AUTO_TEST_SUITE_END()
