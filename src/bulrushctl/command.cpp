#include "command.h"

#include <algorithm>

namespace bulrushstack {

namespace {

/// A row of the command table: a noun, an optional verb, and the operands that follow them.
struct CommandSyntax {
    std::string_view noun;
    std::string_view verb;
    std::size_t minOperands; ///< smallest permitted number of operands
    std::size_t maxOperands; ///< largest permitted number of operands
    std::string_view operandHelp; ///< operands as printed in the help text and in error messages
};

constexpr CommandSyntax commandTable[] = {
    { "status", "", 0, 0, "" },
    { "config", "apply", 1, 1, "FILE" },
    { "config", "show", 0, 0, "" },
    { "config", "history", 0, 0, "" },
    { "template", "list", 0, 0, "" },
    { "template", "show", 1, 1, "NAME" },
    { "template", "diff", 2, 2, "NAME FILE" },
    { "template", "apply", 1, 1, "FILE" },
    { "template", "history", 0, 1, "[NAME]" },
    { "team", "create", 1, 1, "FILE, or NAME --template T [--parameter KEY=VALUE]..." },
    { "team", "list", 0, 0, "" },
    { "team", "show", 1, 1, "NAME" },
    { "team", "delete", 1, 1, "NAME" },
    { "model", "apply", 1, 1, "FILE" },
    { "model", "list", 0, 0, "" },
    { "service", "apply", 1, 1, "FILE" },
    { "service", "list", 0, 0, "" },
    { "explain", "", 1, 1000, "REQUEST-ID [LOG]... (reads logs, contacts no instance)" },
};

std::string describe(const CommandSyntax& syntax)
{
    std::string out(syntax.noun);
    for (auto part : { syntax.verb, syntax.operandHelp })
        out += part.empty() ? "" : " " + std::string(part);
    return out;
}

CommandParseResult parseError(std::string error) { return { .command = std::nullopt, .error = std::move(error) }; }

/// Returns the verbs that may follow the noun, each after a space; all nouns if the noun is unknown.
std::string listExpectedWords(std::string_view noun)
{
    std::string verbs;
    std::string nouns;
    for (const auto& syntax : commandTable) {
        if (syntax.noun == noun)
            verbs += " " + std::string(syntax.verb);
        if ((nouns + " ").find(" " + std::string(syntax.noun) + " ") == std::string::npos)
            nouns += " " + std::string(syntax.noun);
    }
    return verbs.empty() ? nouns : verbs;
}

} // namespace

CommandParseResult parseCommand(const std::vector<std::string>& words)
{
    if (words.empty())
        return parseError("no command; expected one of" + listExpectedWords(""));
    for (const auto& syntax : commandTable) {
        const std::size_t commandWordCount = syntax.verb.empty() ? 1 : 2;
        if (syntax.noun != words[0] || (commandWordCount == 2 && (words.size() < 2 || syntax.verb != words[1])))
            continue;
        const std::size_t n = words.size() - commandWordCount;
        if (n < syntax.minOperands || n > syntax.maxOperands)
            return parseError("wrong number of operands; expected " + describe(syntax));
        Command command { .noun = words[0], .verb = std::string(syntax.verb), .operands = {} };
        command.operands.assign(words.begin() + static_cast<std::ptrdiff_t>(commandWordCount), words.end());
        return { .command = std::move(command), .error = {} };
    }
    const auto text = words[0] + (words.size() > 1 ? " " + words[1] : "");
    return parseError("unknown command '" + text + "'; expected one of" + listExpectedWords(words[0]));
}

std::string commandSummary()
{
    std::string out
        = "Reads and changes the configuration of a deployment.\n\nCommands (FILE may be - for standard input):\n";
    for (const auto& syntax : commandTable)
        out += "  " + describe(syntax) + "\n";
    return out
        + "\nA FILE contains {\"templates\":{NAME:...},\"models\":{...},\"services\":{...},\"teams\":{...}}, where\n"
          "null deletes an object and \"revision\" is the revision that the edits are based on.\n\n"
          "Exit status: 0 success, 1 rejected or failed, 2 usage, 3 conflict, 4 unreachable, 5 --wait timed out.";
}

std::vector<SettingSpec> controlSettings()
{
    return {
        { .name = "address",
            .kind = SettingKind::Address,
            .help = "address of the operator API of an instance",
            .required = true },
        { .name = "token",
            .kind = SettingKind::Text,
            .help = "bearer token of the operator API",
            .required = true,
            .secret = true },
        { .name = "output",
            .kind = SettingKind::Choice,
            .defaultValue = "table",
            .help = "output format",
            .choices = { "table", "json" } },
        { .name = "wait",
            .kind = SettingKind::Flag,
            .help = "wait until all live instances report the accepted revision" },
        { .name = "wait-timeout",
            .kind = SettingKind::Duration,
            .defaultValue = "30s",
            .help = "timeout of --wait",
            .minimum = "1ms",
            .maximum = "1h" },
        { .name = "author",
            .kind = SettingKind::Text,
            .help = "author to record with a change; default: the user name" },
        { .name = "template", .kind = SettingKind::Text, .help = "template of the team to create" },
        { .name = "parameter", .kind = SettingKind::Text, .help = "KEY=VALUE of the team to create; may be repeated" },
    };
}

std::vector<SettingSpec> explainSettings()
{
    return {
        { .name = "before",
            .kind = SettingKind::Duration,
            .defaultValue = "5s",
            .help = "how far before the first log line of the request to show state changes",
            .minimum = "0s",
            .maximum = "1h" },
    };
}

std::vector<std::string> extractParameters(std::vector<std::string>& arguments)
{
    static constexpr std::string_view flag = "--parameter";
    std::vector<std::string> out;
    for (auto it = arguments.begin(); it != arguments.end() && *it != "--";) {
        const bool hasInlineValue = it->starts_with(std::string(flag) + "=");
        if (!hasInlineValue && (*it != flag || it + 1 == arguments.end())) {
            ++it;
            continue;
        }
        const auto end = hasInlineValue ? it + 1 : it + 2;
        out.push_back(hasInlineValue ? it->substr(flag.size() + 1) : *(it + 1));
        it = arguments.erase(it, end);
    }
    return out;
}

} // namespace bulrushstack
