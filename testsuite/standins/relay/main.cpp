#include "relay.h"

#include <boost/asio/signal_set.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace bulrushstack;
    using namespace bulrushstack::standins;
    const std::vector<SettingSpec> specs {
        { .name = "target-address",
            .kind = SettingKind::Address,
            .help = "address that connections are forwarded to",
            .required = true },
    };
    const auto settings = parseStandinSettings("standin_relay", specs, argc, argv);
    boost::asio::io_context context;
    StandinState state;
    Relay relay(context, settings.address("listen-address"), settings.address("target-address"), state);
    RelayFaultPort faultPort(relay, state);
    HttpServerOptions options;
    options.address = settings.address("fault-address");
    HttpServer faultServer(context, options, faultPort);
    auto ec = relay.start();
    if (!ec)
        ec = faultServer.start();
    if (ec) {
        std::cerr << "cannot listen: " << ec.message() << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
