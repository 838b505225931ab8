#include "bulrushstack/config/configuration_service.h"
#include "bulrushstack/engine/upstream_protocol_service.h"
#include "bulrushstack/execution/execution_service.h"
#include "bulrushstack/front/front_service.h"
#include "bulrushstack/kernel/log_output.h"
#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/membership/membership_service.h"
#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"
#include "bulrushstack/report/operator_service.h"
#include "platform/platform_binding.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>
#include <iostream>
#include <unistd.h>

namespace bulrushstack {
namespace {

constexpr std::string_view bindingFlag = "--binding";
constexpr std::string_view settingsFileFlag = "--settings-file";
constexpr std::string_view platformBindingName = "platform";

/// Poll interval of the settings file, which may change without a signal.
constexpr std::chrono::seconds settingsFilePollInterval { 2 };

std::vector<SettingSpec> commonSettings()
{
    return {
        { .name = "binding",
            .kind = SettingKind::Choice,
            .defaultValue = "standalone",
            .help = "standalone: the interfaces of bulrushstack; platform: those of the users' platform (flag only)",
            .choices = { "standalone", "platform" } },
        { .name = "settings-file",
            .kind = SettingKind::Text,
            .help = "file with NAME=VALUE lines, named like the environment variables (flag only)" },
    };
}

std::vector<SettingSpec> daemonSettings(bool isPlatformBinding)
{
    auto groups = isPlatformBinding
        ? std::vector<std::vector<SettingSpec>> { commonSettings(), runtimeSettings(), frontSettings() }
        : std::vector<std::vector<SettingSpec>> { commonSettings(), runtimeSettings(), peerSettings(),
              platformSettings(), configurationSettings(), membershipSettings(), executionSettings(),
              operatorSettings() };
    std::vector<SettingSpec> out;
    for (const auto& group : groups)
        out.insert(out.end(), group.begin(), group.end());
    return out;
}

/// Returns the lines of the settings file: an empty list without --settings-file, std::nullopt if the file cannot be
/// read.
std::optional<std::vector<std::string>> readSettingsFileLines(const std::vector<std::string>& arguments)
{
    const auto path = findFlag(arguments, settingsFileFlag);
    return path.empty() ? std::vector<std::string>() : readSettingsFile(path);
}

/// Parses the settings from flags, environment variables and the lines of the settings file.
SettingsOutcome readSettings(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments,
    const std::optional<std::vector<std::string>>& fileLines)
{
    if (!fileLines)
        return { .settings = std::nullopt,
            .error = "--settings-file: '" + findFlag(arguments, settingsFileFlag) + "' cannot be read" };
    std::vector<std::string> environment;
    for (char** it = environ; *it; ++it)
        environment.emplace_back(*it);
    return parseSettings(specs, arguments, environment, *fileLines);
}

std::unique_ptr<FrontBinding> createPlatformBinding(HttpClient& client, const Clock& clock, Address storeAddress)
{
    return std::make_unique<PlatformBinding>(client, clock, std::move(storeAddress));
}

void addServices(ServiceRegistry& registry, const Settings& settings, const Clock& clock)
{
    InstanceIdentity identity;
    identity.id = settings.text("instance-id");
    identity.zone = settings.text("zone");
    // An instance has no persistent storage, so its start time in milliseconds distinguishes it from the process that
    // it replaces.
    identity.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallNow().time_since_epoch()).count());
    registry.add(std::make_unique<RuntimeService>(settings, clock, std::move(identity)));
    registry.add(std::make_unique<HttpClientService>());
    if (settings.text("binding") == platformBindingName) {
        registry.add(std::make_unique<FrontService>(createPlatformBinding));
        return;
    }
    registry.add(std::make_unique<PeerMeshService>());
    registry.add(std::make_unique<PlatformService>());
    registry.add(std::make_unique<UpstreamProtocolService>());
    registry.add(std::make_unique<ConfigurationService>());
    registry.add(std::make_unique<MembershipService>());
    registry.add(std::make_unique<ExecutionService>());
    registry.add(std::make_unique<OperatorService>());
}

/// Stops all services on the first SIGTERM or SIGINT. Later signals are ignored, so that they do not interrupt the
/// shutdown.
boost::asio::awaitable<void> runUntilSignal(ServiceRegistry& registry, boost::asio::signal_set& signals)
{
    const int signal = co_await signals.async_wait(boost::asio::use_awaitable);
    LOG(INFO) << "event=shutdown signal=" << signal;
    co_await registry.stopAll();
    registry.context().stop();
}

/// Reloads the settings file after a SIGHUP and when its content has changed. If the new settings cannot be read, the
/// current ones remain in effect.
class SettingsReloader {
public:
    SettingsReloader(ServiceRegistry& registry, std::vector<std::string> arguments)
        : m_registry(registry)
        , m_arguments(std::move(arguments))
        , m_fileLines(readSettingsFileLines(m_arguments))
    {
    }

    boost::asio::awaitable<void> reloadOnSignal(boost::asio::signal_set& signals)
    {
        for (;;) {
            co_await signals.async_wait(boost::asio::use_awaitable);
            LOG(INFO) << "event=reload-requested signal=SIGHUP";
            reload(readSettingsFileLines(m_arguments));
        }
    }

    boost::asio::awaitable<void> reloadOnFileChange()
    {
        for (;;) {
            co_await sleepFor(m_registry.context(), settingsFilePollInterval);
            auto lines = readSettingsFileLines(m_arguments);
            if (lines && lines != m_fileLines)
                reload(std::move(lines));
        }
    }

private:
    void reload(std::optional<std::vector<std::string>> lines)
    {
        m_fileLines = std::move(lines);
        const auto outcome = readSettings(daemonSettings(true), m_arguments, m_fileLines);
        if (outcome.settings)
            m_registry.find<FrontService>("front").reload(*outcome.settings);
        else
            LOG(ERROR) << "event=reload-failed error=\"" << outcome.error << "\"";
    }

    ServiceRegistry& m_registry;
    std::vector<std::string> m_arguments;
    std::optional<std::vector<std::string>> m_fileLines;
};

int run(const Settings& settings, const std::vector<std::string>& arguments)
{
    boost::asio::io_context context(1);
    const SystemClock clock;
    // Registered before anything else, since an unhandled signal during startup would terminate the process.
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignals(context);
    std::unique_ptr<LogOutput> logOutput;
    if (settings.text("binding") == platformBindingName) {
        reloadSignals.add(SIGHUP);
        FLAGS_logtostderr = false;
        FLAGS_stderrthreshold = google::NUM_SEVERITIES;
        for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
            google::SetLogDestination(severity, "");
        logOutput = std::make_unique<LogOutput>(clock, LogOutputOptions {});
    }
    ServiceRegistry registry(context);
    addServices(registry, settings, clock);
    try {
        registry.startAll();
    } catch (const std::exception& error) {
        LOG(ERROR) << "event=start-failed error=\"" << error.what() << "\"";
        return 1;
    }
    SettingsReloader reloader(registry, arguments);
    if (settings.text("binding") == platformBindingName) {
        spawnLogged(context, reloader.reloadOnSignal(reloadSignals), "settings-signal");
        spawnLogged(context, reloader.reloadOnFileChange(), "settings-file");
    }
    boost::asio::co_spawn(context, runUntilSignal(registry, stopSignals), [](std::exception_ptr error) {
        if (error)
            std::rethrow_exception(error);
    });
    context.run();
    LOG(INFO) << "event=stopped";
    return 0;
}

int daemonMain(const std::vector<std::string>& arguments)
{
    const auto specs = daemonSettings(findFlag(arguments, bindingFlag) == platformBindingName);
    const auto outcome = readSettings(specs, arguments, readSettingsFileLines(arguments));
    if (!outcome.settings || !outcome.settings->arguments().empty()) {
        const std::string error
            = outcome.settings ? "unexpected argument '" + outcome.settings->arguments().front() + "'" : outcome.error;
        std::cerr << "bulrushd: " << error << "\n";
        return 2;
    }
    switch (outcome.settings->action()) {
    case SettingsAction::Help:
        std::cout << formatHelp(
            "bulrushd", "Routes HTTP requests of teams to inference engines and plain services.", specs);
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
    return run(*outcome.settings, arguments);
}

} // namespace
} // namespace bulrushstack

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    return bulrushstack::daemonMain({ argv + 1, argv + argc });
}
