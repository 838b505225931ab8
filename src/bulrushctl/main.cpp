#include "bulrushstack/kernel/run_awaitable.h"
#include "program.h"

#include <glog/logging.h>
#include <iostream>
#include <unistd.h>

namespace bulrushstack {
namespace {

std::string userName()
{
    const char* name = std::getenv("USER");
    return name && *name ? name : "unknown";
}

int refuse(const std::string& error)
{
    std::cerr << "bulrushctl: " << error << "\n";
    return static_cast<int>(ExitStatus::Usage);
}

int runCommand(const Settings& settings, const Command& command, std::vector<std::string> parameters)
{
    boost::asio::io_context context(1);
    const SystemClock clock;
    OperatorClientOptions clientOptions;
    clientOptions.address = settings.address("address");
    clientOptions.token = settings.text("token");
    OperatorClient client(context, clock, std::move(clientOptions));
    ProgramOptions options;
    options.isJson = settings.text("output") == "json";
    options.isWaiting = settings.isSet("wait");
    options.waitTimeout = settings.duration("wait-timeout");
    options.author = settings.isSet("author") ? settings.text("author") : userName();
    options.templateName = settings.text("template");
    options.parameters = std::move(parameters);
    if (settings.isSet("parameter"))
        options.parameters.push_back(settings.text("parameter"));
    Program program(client, std::move(options), { .input = std::cin, .output = std::cout, .errors = std::cerr });
    return static_cast<int>(runAwaitable(context, program.run(command)));
}

int controlMain(std::vector<std::string> arguments)
{
    std::vector<std::string> environment;
    for (char** it = environ; *it; ++it)
        environment.emplace_back(*it);
    const auto specs = controlSettings();
    auto parameters = takeParameters(arguments);
    const auto outcome = parseSettings(specs, arguments, environment);
    if (!outcome.settings)
        return refuse(outcome.error);
    switch (outcome.settings->action()) {
    case SettingsAction::Help:
        std::cout << formatHelp("bulrushctl", commandSummary(), specs);
        return 0;
    case SettingsAction::Version:
        std::cout << "bulrushctl " << BULRUSH_VERSION << "\n";
        return 0;
    case SettingsAction::PrintSettings:
        std::cout << formatSettings(specs, *outcome.settings);
        return 0;
    case SettingsAction::Check:
        std::cout << "bulrushctl: the settings are valid\n";
        return 0;
    case SettingsAction::Run:
        break;
    }
    const auto command = parseCommand(outcome.settings->arguments());
    if (!command.command)
        return refuse(command.error);
    return runCommand(*outcome.settings, *command.command, std::move(parameters));
}

} // namespace
} // namespace bulrushstack

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    return bulrushstack::controlMain({ argv + 1, argv + argc });
}
