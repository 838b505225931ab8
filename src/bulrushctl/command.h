#pragma once

#include "bulrushstack/kernel/settings.h"

namespace bulrushstack {

/// Exit statuses of the program.
enum class ExitStatus {
    Success = 0,
    Failed = 1, ///< refused or failed
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
    WaitTimedOut = 5,
};

/// What the words of the command line ask for.
struct Command {
    std::string noun;
    std::string verb;
    std::vector<std::string> operands;

    friend bool operator==(const Command&, const Command&) = default;
};

struct CommandParseResult {
    std::optional<Command> command;
    std::string error;
};

/// Checks noun, verb and number of operands.
CommandParseResult parseCommand(const std::vector<std::string>& words);

/// Returns one line for each command, for --help.
std::string commandSummary();

std::vector<SettingSpec> controlSettings();

/// Returns the settings of the command "explain", which reads logs and asks no instance.
std::vector<SettingSpec> explainSettings();

/// Removes every "--parameter KEY=VALUE" from the arguments and returns the values in order. The settings parser keeps
/// only the last value of a flag.
std::vector<std::string> extractParameters(std::vector<std::string>& arguments);

} // namespace bulrushstack
