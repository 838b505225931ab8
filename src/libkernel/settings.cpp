#include "bulrushstack/kernel/settings.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <getopt.h>
#include <sstream>
#include <stdexcept>

namespace bulrushstack {

namespace {

constexpr std::string_view environmentPrefix = "BULRUSH_";

std::string environmentName(std::string_view setting)
{
    std::string out(environmentPrefix);
    for (char c : setting)
        out += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return out;
}

std::optional<std::uint64_t> numericValue(SettingKind kind, std::string_view text)
{
    if (kind == SettingKind::Duration) {
        auto duration = parseDuration(text);
        return duration ? std::optional<std::uint64_t>(static_cast<std::uint64_t>(duration->count())) : std::nullopt;
    }
    if (kind == SettingKind::Count && text.find_first_not_of("0123456789") != std::string_view::npos)
        return std::nullopt;
    return parseSize(text);
}

std::string describeRange(const SettingSpec& spec)
{
    if (!spec.minimum.empty() && !spec.maximum.empty())
        return " from " + spec.minimum + " to " + spec.maximum;
    if (!spec.minimum.empty())
        return " of at least " + spec.minimum;
    if (!spec.maximum.empty())
        return " of at most " + spec.maximum;
    return {};
}

std::string describePermitted(const SettingSpec& spec)
{
    switch (spec.kind) {
    case SettingKind::Text:
        return "a non-empty string";
    case SettingKind::Address:
        return "HOST:PORT with a numeric host, such as 127.0.0.1:8080";
    case SettingKind::Duration:
        return "a duration" + describeRange(spec) + " with unit ns, us, ms, s, m or h, such as 250ms";
    case SettingKind::Size:
        return "a size" + describeRange(spec) + " in bytes or with unit KiB, MiB, GiB or TiB, such as 8MiB";
    case SettingKind::Count:
        return "a whole number" + describeRange(spec);
    case SettingKind::Number:
        return "a non-negative number";
    case SettingKind::Flag:
        return "true or false";
    case SettingKind::Choice: {
        std::string out = "one of";
        for (const auto& it : spec.choices)
            out += " " + it;
        return out;
    }
    }
    return {};
}

bool isInRange(const SettingSpec& spec, std::uint64_t value)
{
    if (!spec.minimum.empty() && value < numericValue(spec.kind, spec.minimum).value_or(0))
        return false;
    return spec.maximum.empty() || value <= numericValue(spec.kind, spec.maximum).value_or(0);
}

bool isValid(const SettingSpec& spec, const std::string& value)
{
    switch (spec.kind) {
    case SettingKind::Text:
        return !value.empty();
    case SettingKind::Address:
        return parseAddress(value).has_value();
    case SettingKind::Duration:
    case SettingKind::Size:
    case SettingKind::Count: {
        auto n = numericValue(spec.kind, value);
        return n && isInRange(spec, *n);
    }
    case SettingKind::Number:
        return parseNumber(value).has_value();
    case SettingKind::Flag:
        return value == "true" || value == "false";
    case SettingKind::Choice:
        return std::find(spec.choices.begin(), spec.choices.end(), value) != spec.choices.end();
    }
    return false;
}

std::string displayedValue(const SettingSpec& spec, const std::string& value)
{
    return spec.secret ? "(hidden)" : value;
}

SettingsOutcome parseFailure(std::string message) { return { .settings = std::nullopt, .error = std::move(message) }; }

struct CommandLine {
    std::map<std::string, std::string> values;
    std::vector<std::string> arguments;
    SettingsAction action = SettingsAction::Run;
    std::string error;
};

constexpr int firstSettingOption = 1000;

CommandLine readCommandLine(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments)
{
    static const std::pair<const char*, SettingsAction> actions[] = {
        { "help", SettingsAction::Help },
        { "version", SettingsAction::Version },
        { "print-settings", SettingsAction::PrintSettings },
        { "check", SettingsAction::Check },
    };
    CommandLine out;
    std::vector<option> options;
    for (const auto& [name, action] : actions)
        options.push_back({ name, no_argument, nullptr, static_cast<int>(action) });
    for (std::size_t i = 0; i < specs.size(); ++i) {
        const int argument = specs[i].kind == SettingKind::Flag ? optional_argument : required_argument;
        options.push_back({ specs[i].name.c_str(), argument, nullptr, firstSettingOption + static_cast<int>(i) });
    }
    options.push_back({ nullptr, 0, nullptr, 0 });

    std::vector<std::string> words { "program" };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& it : words)
        argv.push_back(it.data());
    argv.push_back(nullptr);

    // Setting optind to 0 resets the state of glibc's getopt, so that a process can parse several command lines.
    optind = 0;
    int value = 0;
    while ((value = getopt_long(static_cast<int>(words.size()), argv.data(), ":", options.data(), nullptr)) != -1) {
        const std::string word = optind > 0 && optind <= static_cast<int>(words.size()) ? argv[optind - 1] : "";
        if (value == '?') {
            out.error = "unknown or ambiguous flag '" + word + "'; --help lists the permitted flags";
            return out;
        }
        if (value == ':') {
            out.error = "flag '" + word + "' needs a value";
            return out;
        }
        if (value >= firstSettingOption)
            out.values[specs[static_cast<std::size_t>(value - firstSettingOption)].name] = optarg ? optarg : "true";
        else
            out.action = static_cast<SettingsAction>(value);
    }
    for (int i = optind; i < static_cast<int>(words.size()); ++i)
        out.arguments.emplace_back(argv[i]);
    return out;
}

/// Adds the variables with the prefix BULRUSH_ to the map; a later value replaces an earlier one.
void collectVariables(const std::vector<std::string>& lines, std::map<std::string, std::string>& out)
{
    for (const auto& it : lines) {
        const auto equals = it.find('=');
        if (equals != std::string::npos && std::string_view(it).starts_with(environmentPrefix))
            out[it.substr(0, equals)] = it.substr(equals + 1);
    }
}

} // namespace

std::optional<std::vector<std::string>> readSettingsFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::vector<std::string> out;
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() != '#')
            out.push_back(std::move(line));
    }
    return file.bad() ? std::nullopt : std::optional(std::move(out));
}

std::string findFlag(const std::vector<std::string>& arguments, std::string_view flag)
{
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string_view word = arguments[i];
        if (word == flag && i + 1 < arguments.size())
            return arguments[i + 1];
        if (word.starts_with(flag) && word.size() > flag.size() && word[flag.size()] == '=')
            return std::string(word.substr(flag.size() + 1));
    }
    return {};
}

SettingsOutcome parseSettings(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments,
    const std::vector<std::string>& environment, const std::vector<std::string>& fileLines)
{
    CommandLine line = readCommandLine(specs, arguments);
    if (!line.error.empty())
        return parseFailure(line.error);

    std::map<std::string, std::string> fromEnvironment;
    collectVariables(fileLines, fromEnvironment);
    collectVariables(environment, fromEnvironment);

    std::map<std::string, std::string> values;
    for (const auto& spec : specs) {
        const std::string variable = environmentName(spec.name);
        std::string source = "--" + spec.name;
        std::optional<std::string> value;
        if (auto it = line.values.find(spec.name); it != line.values.end()) {
            value = it->second;
        } else if (auto env = fromEnvironment.find(variable); env != fromEnvironment.end()) {
            value = env->second;
            source = variable;
        }
        fromEnvironment.erase(variable);
        if (value && !isValid(spec, *value))
            return parseFailure(source + ": '" + displayedValue(spec, *value) + "' is not permitted; expected "
                + describePermitted(spec));
        if (!value && !spec.defaultValue.empty())
            value = spec.defaultValue;
        const bool isRequiredChecked = line.action == SettingsAction::Run || line.action == SettingsAction::Check;
        if (!value && spec.required && isRequiredChecked)
            return parseFailure("--" + spec.name + ": not set; expected " + describePermitted(spec));
        values[spec.name] = value.value_or("");
    }
    if (!fromEnvironment.empty())
        return parseFailure(
            "unknown variable '" + fromEnvironment.begin()->first + "'; --help lists the permitted settings");
    return { .settings = Settings(std::move(values), line.action, std::move(line.arguments)), .error = {} };
}

std::string formatHelp(std::string_view program, std::string_view summary, const std::vector<SettingSpec>& specs)
{
    std::ostringstream out;
    out << "Usage: " << program << " [FLAG]...\n"
        << summary
        << "\n\nEach flag --some-name can also be set by the environment variable BULRUSH_SOME_NAME; the flag takes "
           "precedence.\n\n";
    for (const auto& spec : specs) {
        out << "  --" << spec.name << "\n      " << spec.help << "; " << describePermitted(spec);
        if (!spec.defaultValue.empty())
            out << "; default " << spec.defaultValue;
        if (spec.required)
            out << "; required";
        out << "\n";
    }
    out << "  --help, --version, --print-settings, --check\n";
    return out.str();
}

std::string formatSettings(const std::vector<SettingSpec>& specs, const Settings& settings)
{
    std::string out;
    for (const auto& spec : specs) {
        const std::string value = settings.text(spec.name);
        out += environmentName(spec.name) + "=" + (value.empty() ? value : displayedValue(spec, value)) + "\n";
    }
    return out;
}

Settings::Settings(std::map<std::string, std::string> values, SettingsAction action, std::vector<std::string> arguments)
    : m_values(std::move(values))
    , m_action(action)
    , m_arguments(std::move(arguments))
{
}

std::string Settings::text(std::string_view name) const
{
    auto it = m_values.find(std::string(name));
    if (it == m_values.end())
        throw std::logic_error("setting '" + std::string(name) + "' is not declared");
    return it->second;
}

Address Settings::address(std::string_view name) const { return parseAddress(text(name)).value_or(Address {}); }

std::chrono::nanoseconds Settings::duration(std::string_view name) const
{
    return parseDuration(text(name)).value_or(std::chrono::nanoseconds(0));
}

std::uint64_t Settings::size(std::string_view name) const { return parseSize(text(name)).value_or(0); }

double Settings::number(std::string_view name) const { return parseNumber(text(name)).value_or(0); }

std::uint64_t Settings::count(std::string_view name) const { return size(name); }

bool Settings::isSet(std::string_view name) const
{
    const std::string value = text(name);
    return !value.empty() && value != "false";
}

} // namespace bulrushstack
