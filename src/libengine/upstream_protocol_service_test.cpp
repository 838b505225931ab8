#include "bulrushstack/engine/upstream_protocol_service.h"
#include "bulrushstack/net/net_services.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(UpstreamProtocols)

// Guards against a daemon that starts without its upstream clients.
BOOST_AUTO_TEST_CASE(StartWithTheHttpClient)
{
    boost::asio::io_context context;
    ServiceRegistry registry(context);
    const SystemClock clock;
    registry.add(std::make_unique<UpstreamProtocolService>());
    registry.add(std::make_unique<HttpClientService>());
    registry.add(std::make_unique<RuntimeService>(Settings(), clock, InstanceIdentity()));
    registry.startAll();
    auto& protocols = registry.find<UpstreamProtocolService>("upstream-protocols");
    BOOST_TEST(dynamic_cast<EngineClient*>(&protocols.engineClient()));
    BOOST_TEST(dynamic_cast<ServiceClient*>(&protocols.serviceClient()));
}

// Guards against a missing dependency that is not detected before the first request.
BOOST_AUTO_TEST_CASE(DoNotStartWithoutTheHttpClient)
{
    boost::asio::io_context context;
    ServiceRegistry registry(context);
    registry.add(std::make_unique<UpstreamProtocolService>());
    BOOST_CHECK_THROW(registry.startAll(), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
