#include "service_handler.h"

int main(int argc, char** argv)
{
    using namespace bulrushstack;
    using namespace bulrushstack::standins;
    const std::vector<SettingSpec> specs {
        { .name = "service", .help = "name of the service in the execution log", .required = true },
        { .name = "checks-fencing",
            .kind = SettingKind::Flag,
            .defaultValue = "false",
            .help = "reject requests with a stale X-Fencing" },
    };
    const auto settings = parseStandinSettings("standin_service", specs, argc, argv);
    boost::asio::io_context context;
    StandinState state;
    FaultPort faultPort(state);
    ServiceOptions options;
    options.name = settings.text("service");
    options.checksFencing = settings.isSet("checks-fencing");
    ServiceHandler handler(std::move(options), state);
    return serve(context, settings, handler, faultPort);
}
