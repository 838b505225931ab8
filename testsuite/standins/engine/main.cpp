#include "engine_handler.h"

#include <iostream>

namespace bulrushstack::standins {
namespace {

std::vector<SettingSpec> engineSettings()
{
    using Kind = SettingKind;
    return {
        { .name = "model", .help = "models resident at startup: id:version:bytes, separated by commas" },
        { .name = "memory", .kind = Kind::Size, .defaultValue = "80GiB", .help = "memory for models" },
        { .name = "incarnation", .kind = Kind::Count, .defaultValue = "1", .help = "incarnation in load reports" },
        { .name = "tokens-per-second",
            .kind = Kind::Count,
            .defaultValue = "1000",
            .help = "total decode rate, shared by the running requests",
            .minimum = "1" },
        { .name = "prefill-tokens-per-second",
            .kind = Kind::Count,
            .defaultValue = "20000",
            .help = "rate for prompt tokens that are not in the prefix cache",
            .minimum = "1" },
        { .name = "max-batch",
            .kind = Kind::Count,
            .defaultValue = "8",
            .help = "maximum number of running requests",
            .minimum = "1" },
        { .name = "prefix-cache-tokens",
            .kind = Kind::Count,
            .defaultValue = "100000",
            .help = "capacity of the prefix cache in tokens" },
        { .name = "report-lag", .kind = Kind::Duration, .defaultValue = "0ms", .help = "age of load reports" },
        { .name = "event-lag",
            .kind = Kind::Duration,
            .defaultValue = "0ms",
            .help = "delay before cache events are published" },
        { .name = "event-gap-every",
            .kind = Kind::Count,
            .defaultValue = "0",
            .help = "every n-th cache event is never published; 0: none" },
        { .name = "checks-fencing",
            .kind = Kind::Flag,
            .defaultValue = "false",
            .help = "reject orders with a stale fencing number" },
        { .name = "load-time", .kind = Kind::Duration, .defaultValue = "10ms", .help = "time to load a model" },
        { .name = "weight-address",
            .kind = Kind::Address,
            .help = "weight store that models are loaded from; replaces load-time" },
        { .name = "keep-alive",
            .kind = Kind::Duration,
            .defaultValue = "200ms",
            .help = "interval of keep-alive comments on a stream without new tokens",
            .minimum = "1ms" },
        { .name = "stream-retention",
            .kind = Kind::Duration,
            .defaultValue = "60s",
            .help = "time for which a finished stream can be resumed" },
        { .name = "fatal-text", .help = "a prompt that contains this text crashes the process" },
    };
}

EngineOptions engineOptions(const Settings& settings)
{
    EngineOptions out;
    out.incarnation = settings.count("incarnation");
    out.initialModels = settings.text("model");
    out.fatalText = settings.text("fatal-text");
    out.reportLag = settings.duration("report-lag");
    out.keepAlive = settings.duration("keep-alive");
    out.streamRetention = settings.duration("stream-retention");
    out.batch.tokensPerSecond = static_cast<double>(settings.count("tokens-per-second"));
    out.batch.prefillTokensPerSecond = static_cast<double>(settings.count("prefill-tokens-per-second"));
    out.batch.maxBatch = settings.count("max-batch");
    out.cache.capacity = settings.count("prefix-cache-tokens");
    out.cache.eventLag = settings.duration("event-lag");
    out.cache.eventGapEvery = settings.count("event-gap-every");
    out.residency.capacity = settings.size("memory");
    out.residency.checksFencing = settings.isSet("checks-fencing");
    out.residency.loadTime = settings.duration("load-time");
    if (settings.isSet("weight-address"))
        out.residency.weightAddress = settings.address("weight-address");
    return out;
}

int run(int argc, char** argv)
{
    const auto settings = parseStandinSettings("standin_engine", engineSettings(), argc, argv);
    boost::asio::io_context context;
    StandinState state;
    FaultPort faultPort(state);
    EngineHandler handler(context, engineOptions(settings), state);
    return serve(context, settings, handler, faultPort);
}

} // namespace
} // namespace bulrushstack::standins

int main(int argc, char** argv)
{
    try {
        return bulrushstack::standins::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "standin_engine: " << error.what() << "\n";
        return 2;
    }
}
