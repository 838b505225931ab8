#include "platform_handler.h"

using namespace bulrushstack;
using namespace bulrushstack::standins;

namespace {

std::vector<SettingSpec> platformStandinSettings()
{
    return {
        { .name = "list-lag",
            .kind = SettingKind::Duration,
            .defaultValue = "0ms",
            .help = "delay before a change is visible in the public instance list" },
        { .name = "weight-rate-milli",
            .kind = SettingKind::Count,
            .defaultValue = "1500",
            .help = "maximum number of weight loads that start per 1000 s; 0: no limit" },
        { .name = "weight-concurrency",
            .kind = SettingKind::Count,
            .defaultValue = "9",
            .help = "maximum number of concurrent weight loads at full speed",
            .minimum = "1" },
        { .name = "weight-time",
            .kind = SettingKind::Duration,
            .defaultValue = "500ms",
            .help = "duration of one weight load at full speed" },
    };
}

} // namespace

int main(int argc, char** argv)
{
    const auto settings = parseStandinSettings("standin_platform", platformStandinSettings(), argc, argv);
    PlatformOptions options;
    options.listLag = settings.duration("list-lag");
    options.weights.rateMilli = settings.count("weight-rate-milli");
    options.weights.concurrency = settings.count("weight-concurrency");
    options.weights.loadTime = settings.duration("weight-time");
    const SystemClock clock;
    PlatformState state(clock, options);
    PlatformHandler handler(state);
    PlatformFaultPort faultPort(state);
    // Declared last, so that pending handlers are destroyed before the state that they use.
    boost::asio::io_context context;
    return serve(context, settings, handler, faultPort);
}
