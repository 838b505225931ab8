#include "bulrushstack/kernel/run_awaitable.h"
#include "load_runner.h"

#include <fstream>
#include <iostream>

using namespace bulrushstack;
using namespace bulrushstack::load;

namespace {

std::vector<SettingSpec> loadSettings()
{
    return {
        { .name = "result",
            .kind = SettingKind::Text,
            .help = "output file for the results in JSON",
            .required = true },
        { .name = "progress-interval",
            .kind = SettingKind::Duration,
            .defaultValue = "1s",
            .help = "interval of progress lines",
            .minimum = "10ms" },
    };
}

Experiment readExperiment(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    return parseExperiment(nlohmann::json::parse(file));
}

void runExperiment(const Settings& settings)
{
    const auto experiment = readExperiment(settings.arguments().at(0));
    std::ofstream result(settings.text("result"));
    if (!result)
        throw std::runtime_error("cannot write " + settings.text("result"));
    const SystemClock clock;
    boost::asio::io_context context;
    LoadRunner runner(context, clock, experiment);
    const auto progress = [](const std::string& line) { std::cout << line << std::endl; };
    runAwaitable(context, runner.run(planRequests(experiment), settings.duration("progress-interval"), progress));
    result << runner.summary().toJson(runner.elapsed()).dump(1) << "\n";
    if (!result.flush())
        throw std::runtime_error("cannot write " + settings.text("result"));
}

} // namespace

int main(int argc, char** argv)
{
    const auto specs = loadSettings();
    const auto outcome = parseSettings(specs, { argv + 1, argv + argc }, {});
    if (outcome.settings && outcome.settings->action() != SettingsAction::Run) {
        std::cout << formatHelp(
            "bulrush_load", "Generates the load described by the experiment file given as argument.", specs);
        return 0;
    }
    if (!outcome.settings || outcome.settings->arguments().size() != 1) {
        std::cerr << "bulrush_load: " << (outcome.settings ? "expected exactly one experiment file" : outcome.error)
                  << "\n";
        return 2;
    }
    try {
        runExperiment(*outcome.settings);
    } catch (const std::exception& error) {
        std::cerr << "bulrush_load: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
