#include "bulrushstack/kernel/run_awaitable.h"
#include "command_runner.h"
#include "request_timeline.h"

#include <algorithm>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <iterator>
#include <unistd.h>

namespace bulrushstack {
namespace {

std::string userName()
{
    const char* name = std::getenv("USER");
    return name && *name ? name : "unknown";
}

int usageError(const std::string& error)
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
    CommandOptions options;
    options.isJson = settings.text("output") == "json";
    options.shouldWait = settings.isSet("wait");
    options.waitTimeout = settings.duration("wait-timeout");
    options.author = settings.isSet("author") ? settings.text("author") : userName();
    options.templateName = settings.text("template");
    options.parameters = std::move(parameters);
    if (settings.isSet("parameter"))
        options.parameters.push_back(settings.text("parameter"));
    CommandRunner runner(client, std::move(options), { .input = std::cin, .output = std::cout, .errors = std::cerr });
    return static_cast<int>(runAwaitable(context, runner.run(command)));
}

/// Reads the given log files, or standard input if there are none. Reports a file that cannot be opened and returns
/// std::nullopt.
std::optional<std::vector<LogLine>> readLogs(const std::vector<std::string>& files)
{
    if (files.empty())
        return readLog("-", std::cin);
    std::vector<LogLine> out;
    for (const auto& file : files) {
        std::ifstream stream;
        if (file != "-")
            stream.open(file);
        if (file != "-" && !stream) {
            std::cerr << "bulrushctl: cannot open log file '" << file << "'\n";
            return std::nullopt;
        }
        auto lines = readLog(file, file == "-" ? std::cin : stream);
        std::move(lines.begin(), lines.end(), std::back_inserter(out));
    }
    return out;
}

/// Prints the timeline of one request from the logs of several instances. Returns exit status 1 if no log line names
/// the request.
int explain(const Settings& settings, std::vector<std::string> operands)
{
    const std::string id = operands.front();
    operands.erase(operands.begin());
    const auto lines = readLogs(operands);
    if (!lines)
        return static_cast<int>(ExitStatus::Usage);
    const auto timeline = buildTimeline(id, *lines, settings.duration("before"));
    std::cout << formatTimeline(timeline);
    return static_cast<int>(timeline.requestLines.empty() ? ExitStatus::Failed : ExitStatus::Success);
}

int controlMain(std::vector<std::string> arguments)
{
    std::vector<std::string> environment;
    for (char** it = environ; *it; ++it)
        environment.emplace_back(*it);
    // The set of settings depends on the command, which is the first argument other than --name=value. Later arguments
    // do not count, since a team or a file may be named "explain" too.
    const auto first = std::find_if(arguments.begin(), arguments.end(),
        [](const std::string& it) { return !it.starts_with("--") || it.find('=') == std::string::npos; });
    const bool isExplainCommand = first != arguments.end() && *first == "explain";
    const auto specs = isExplainCommand ? explainSettings() : controlSettings();
    auto parameters = extractParameters(arguments);
    const auto outcome = parseSettings(specs, arguments, environment);
    if (!outcome.settings)
        return usageError(outcome.error);
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
        return usageError(command.error);
    if (isExplainCommand)
        return explain(*outcome.settings, command.command->operands);
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
