#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// What a setting holds and how its text is checked.
enum class SettingKind {
    Text,
    Address, ///< HOST:PORT with a numeric host
    Duration, ///< a number with unit ns, us, ms, s, m or h
    Size, ///< bytes, or a number with unit KiB, MiB, GiB or TiB
    Count, ///< a whole number
    Flag, ///< true or false
    Choice, ///< one of `choices`
    Number, ///< a number that may have a fraction
};

/// Declaration of one setting; `--NAME` on the command line, `BULRUSH_NAME` in the environment.
struct SettingSpec {
    std::string name;
    SettingKind kind = SettingKind::Text;
    std::string defaultValue;
    std::string help;
    bool required = false;
    bool secret = false;
    std::string minimum; ///< in the notation of the kind; empty: no bound
    std::string maximum; ///< in the notation of the kind; empty: no bound
    std::vector<std::string> choices;
    bool isReloadable = false; ///< a change takes effect without a restart
};

/// What the command line asks for.
enum class SettingsAction {
    Run,
    Help,
    Version,
    PrintSettings,
    Check,
};

/// A checked host and port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    /// Returns HOST:PORT, with brackets around an IPv6 host.
    std::string toString() const;
    friend auto operator<=>(const Address&, const Address&) = default;
};

/// The checked settings of a program. Immutable after parseSettings().
class Settings {
public:
    Settings() = default;
    explicit Settings(std::map<std::string, std::string> values, SettingsAction action = SettingsAction::Run,
        std::vector<std::string> arguments = {});

    /// Typed access; throws std::logic_error for a name that was not declared.
    std::string text(std::string_view name) const;
    Address address(std::string_view name) const;
    std::chrono::nanoseconds duration(std::string_view name) const;
    std::uint64_t size(std::string_view name) const;
    std::uint64_t count(std::string_view name) const;
    double number(std::string_view name) const;
    bool isSet(std::string_view name) const;

    SettingsAction action() const { return m_action; }

    /// Returns the words that are not flags.
    const std::vector<std::string>& arguments() const { return m_arguments; }

private:
    std::map<std::string, std::string> m_values;
    SettingsAction m_action = SettingsAction::Run;
    std::vector<std::string> m_arguments;
};

/// Settings, or the one-line message that names the wrong setting, its value and what is permitted.
struct SettingsOutcome {
    std::optional<Settings> settings;
    std::string error;
};

/// Reads flags with getopt_long and variables with the prefix BULRUSH_; a flag goes before a variable, and a variable
/// before a line of the settings file. `environment` and `fileLines` hold NAME=VALUE lines, as in environ.
SettingsOutcome parseSettings(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments,
    const std::vector<std::string>& environment, const std::vector<std::string>& fileLines = {});

/// Reads a settings file: NAME=VALUE lines spelled as the environment variables, empty lines and lines with '#'.
/// Returns the lines, or an empty optional if the file cannot be read.
std::optional<std::vector<std::string>> readSettingsFile(const std::string& path);

/// Returns the value of one flag, such as "--settings-file", without checking anything else; empty if it is not there.
/// For flags that decide which other settings there are.
std::string findFlag(const std::vector<std::string>& arguments, std::string_view flag);

/// Returns the text for --help.
std::string formatHelp(std::string_view program, std::string_view summary, const std::vector<SettingSpec>& specs);

/// Returns one NAME=VALUE line per setting, with secrets shown as "(hidden)".
std::string formatSettings(const std::vector<SettingSpec>& specs, const Settings& settings);

/// Parses a duration such as "250ms"; empty for anything else, negative values included.
std::optional<std::chrono::nanoseconds> parseDuration(std::string_view text);

/// Parses a size such as "8GiB" or "4096"; empty for anything else.
std::optional<std::uint64_t> parseSize(std::string_view text);

/// Parses a number such as "0.2"; empty for anything else, negative values included.
std::optional<double> parseNumber(std::string_view text);

/// Parses HOST:PORT with a numeric IPv4 host or an IPv6 host in brackets.
std::optional<Address> parseAddress(std::string_view text);

} // namespace bulrushstack
