#pragma once

#include "bulrushstack/kernel/settings.h"

namespace bulrushstack {

/// Exit statuses of bulrushctl.
enum class ExitStatus {
    Success = 0,
    Failed = 1, ///< the instance rejected the request, or the command failed
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
    WaitTimedOut = 5,
};

/// A parsed command, such as "template diff NAME FILE" with the noun "template", the verb "diff" and two operands.
struct Command {
    std::string noun;
    std::string verb;
    std::vector<std::string> operands;

    friend bool operator==(const Command&, const Command&) = default;
};

/// Result of parsing a command: the command, or an error message.
struct CommandParseResult {
    std::optional<Command> command;
    std::string error;
};

/// Parses the arguments that are not flags, and checks the noun, the verb and the number of operands.
CommandParseResult parseCommand(const std::vector<std::string>& words);

/// Returns the text for --help: one line for each command, the file format and the exit statuses.
std::string commandSummary();

/// Returns the settings of all commands except "explain".
std::vector<SettingSpec> controlSettings();

/// Returns the settings of the command "explain", which reads logs and contacts no instance.
std::vector<SettingSpec> explainSettings();

/// Removes every "--parameter KEY=VALUE" before a "--" from the arguments and returns the KEY=VALUE texts in order.
/// They are extracted separately because the settings parser keeps only the last value of a repeated flag.
std::vector<std::string> extractParameters(std::vector<std::string>& arguments);

} // namespace bulrushstack
