#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Type of a setting, which determines how its text is validated and parsed.
enum class SettingKind {
    Text,
    Address, ///< HOST:PORT, where HOST is a numeric IP address
    Duration, ///< a whole number with unit ns, us, ms, s, m or h
    Size, ///< a whole number of bytes, or one with unit KiB, MiB, GiB or TiB
    Count, ///< a non-negative whole number
    Flag, ///< true or false
    Choice, ///< one of `choices`
    Number, ///< a non-negative decimal number
};

/// Declares one setting. It is set by `--NAME` on the command line, or by `BULRUSH_NAME` in the environment or the
/// settings file.
struct SettingSpec {
    std::string name;
    SettingKind kind = SettingKind::Text;
    std::string defaultValue;
    std::string help;
    bool required = false;
    bool secret = false; ///< whether the value is hidden in output and error messages
    std::string minimum; ///< smallest permitted value, written like a value of this kind; empty if unbounded
    std::string maximum; ///< largest permitted value, written like a value of this kind; empty if unbounded
    std::vector<std::string> choices; ///< permitted values of a Choice
    bool isReloadable = false; ///< whether a change takes effect without a restart
};

/// The action that the command line selects.
enum class SettingsAction {
    Run,
    Help,
    Version,
    PrintSettings,
    Check,
};

/// A numeric IP address and a port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    /// Returns HOST:PORT, with brackets around an IPv6 host.
    std::string toString() const;
    friend auto operator<=>(const Address&, const Address&) = default;
};

/// The validated settings of a program. Immutable.
class Settings {
public:
    Settings() = default;
    explicit Settings(std::map<std::string, std::string> values, SettingsAction action = SettingsAction::Run,
        std::vector<std::string> arguments = {});

    /// Each of the following functions returns the value of a setting, and throws std::logic_error if the name was not
    /// declared. A setting that has no value yields an empty or zero value.
    std::string text(std::string_view name) const;
    Address address(std::string_view name) const;
    std::chrono::nanoseconds duration(std::string_view name) const;
    std::uint64_t size(std::string_view name) const;
    std::uint64_t count(std::string_view name) const;
    double number(std::string_view name) const;
    /// Returns whether the setting has a value other than "false".
    bool isSet(std::string_view name) const;

    SettingsAction action() const { return m_action; }

    /// Returns the positional arguments of the command line.
    const std::vector<std::string>& arguments() const { return m_arguments; }

private:
    std::map<std::string, std::string> m_values;
    SettingsAction m_action = SettingsAction::Run;
    std::vector<std::string> m_arguments;
};

/// The result of parseSettings(): the settings, or a one-line error message that names the invalid setting, its value
/// and the permitted values.
struct SettingsOutcome {
    std::optional<Settings> settings;
    std::string error;
};

/// Reads settings from flags (with getopt_long), from environment variables with the prefix BULRUSH_, and from the
/// lines of the settings file. Flags take precedence over environment variables, and these over the settings file.
/// `environment` and `fileLines` hold NAME=VALUE lines, as in environ.
SettingsOutcome parseSettings(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments,
    const std::vector<std::string>& environment, const std::vector<std::string>& fileLines = {});

/// Reads a settings file of NAME=VALUE lines, with the names of the environment variables. Skips empty lines and lines
/// that start with '#'. Returns an empty optional if the file cannot be read.
std::optional<std::vector<std::string>> readSettingsFile(const std::string& path);

/// Returns the value of one flag, such as "--settings-file", or an empty string if it is absent. Validates nothing; for
/// flags whose value is needed before parseSettings() can run.
std::string findFlag(const std::vector<std::string>& arguments, std::string_view flag);

/// Returns the output of --help.
std::string formatHelp(std::string_view program, std::string_view summary, const std::vector<SettingSpec>& specs);

/// Returns one NAME=VALUE line per setting, with the names of the environment variables. Secrets are shown as
/// "(hidden)".
std::string formatSettings(const std::vector<SettingSpec>& specs, const Settings& settings);

/// Parses a duration such as "250ms". Returns an empty optional for any other text, including negative values.
std::optional<std::chrono::nanoseconds> parseDuration(std::string_view text);

/// Parses a size in bytes such as "8GiB" or "4096". Returns an empty optional for any other text.
std::optional<std::uint64_t> parseSize(std::string_view text);

/// Parses a number such as "0.2". Returns an empty optional for any other text, including negative values.
std::optional<double> parseNumber(std::string_view text);

/// Parses HOST:PORT, where HOST is a numeric IPv4 address or an IPv6 address in brackets. Returns an empty optional for
/// any other text.
std::optional<Address> parseAddress(std::string_view text);

} // namespace bulrushstack
