#include "bulrushstack/config/configuration_service.h"
#include "bulrushstack/engine/engine_service.h"
#include "bulrushstack/execution/execution_service.h"
#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/membership/membership_service.h"
#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"
#include "bulrushstack/report/operator_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>
#include <iostream>
#include <unistd.h>

namespace bulrushstack {
namespace {

std::vector<SettingSpec> daemonSettings()
{
    std::vector<SettingSpec> out;
    for (const auto& part : { runtimeSettings(), peerSettings(), platformSettings(), configurationSettings(),
             membershipSettings(), executionSettings(), operatorSettings() })
        out.insert(out.end(), part.begin(), part.end());
    return out;
}

void addServices(ServiceRegistry& registry, const Settings& settings, const Clock& clock)
{
    InstanceIdentity identity;
    identity.id = settings.text("instance-id");
    identity.zone = settings.text("zone");
    // An instance has no disk, so the time of the start tells a new process from the one before it.
    identity.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallNow().time_since_epoch()).count());
    registry.add(std::make_unique<RuntimeService>(settings, clock, std::move(identity)));
    registry.add(std::make_unique<HttpClientService>());
    registry.add(std::make_unique<PeerMeshService>());
    registry.add(std::make_unique<PlatformService>());
    registry.add(std::make_unique<UpstreamProtocolService>());
    registry.add(std::make_unique<ConfigurationService>());
    registry.add(std::make_unique<MembershipService>());
    registry.add(std::make_unique<ExecutionService>());
    registry.add(std::make_unique<OperatorService>());
}

/// Waits for the first SIGTERM or SIGINT; later ones are ignored, so that they do not cut the shutdown short.
boost::asio::awaitable<void> runUntilSignal(ServiceRegistry& registry)
{
    boost::asio::signal_set signals(registry.context(), SIGTERM, SIGINT);
    const int signal = co_await signals.async_wait(boost::asio::use_awaitable);
    LOG(INFO) << "event=shutdown signal=" << signal;
    co_await registry.stopAll();
    registry.context().stop();
}

int run(const Settings& settings)
{
    boost::asio::io_context context(1);
    const SystemClock clock;
    ServiceRegistry registry(context);
    addServices(registry, settings, clock);
    try {
        registry.startAll();
    } catch (const std::exception& error) {
        LOG(ERROR) << "event=start-failed error=\"" << error.what() << "\"";
        return 1;
    }
    boost::asio::co_spawn(context, runUntilSignal(registry), [](std::exception_ptr error) {
        if (error)
            std::rethrow_exception(error);
    });
    context.run();
    LOG(INFO) << "event=stopped";
    return 0;
}

int daemonMain(const std::vector<std::string>& arguments)
{
    std::vector<std::string> environment;
    for (char** it = environ; *it; ++it)
        environment.emplace_back(*it);
    const auto specs = daemonSettings();
    const auto outcome = parseSettings(specs, arguments, environment);
    if (!outcome.settings || !outcome.settings->arguments().empty()) {
        const std::string error
            = outcome.settings ? "unexpected argument '" + outcome.settings->arguments().front() + "'" : outcome.error;
        std::cerr << "bulrushd: " << error << "\n";
        return 2;
    }
    switch (outcome.settings->action()) {
    case SettingsAction::Help:
        std::cout << formatHelp("bulrushd", "Routes requests of teams to model engines and plain services.", specs);
        return 0;
    case SettingsAction::Version:
        std::cout << "bulrushd " << BULRUSH_VERSION << "\n";
        return 0;
    case SettingsAction::PrintSettings:
        std::cout << formatSettings(specs, *outcome.settings);
        return 0;
    case SettingsAction::Check:
        std::cout << "bulrushd: the settings are valid\n";
        return 0;
    case SettingsAction::Run:
        break;
    }
    return run(*outcome.settings);
}

} // namespace
} // namespace bulrushstack

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    return bulrushstack::daemonMain({ argv + 1, argv + argc });
}
