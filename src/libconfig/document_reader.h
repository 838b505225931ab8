#pragma once

#include "bulrushstack/config/configuration.h"

#include <functional>
#include <set>

namespace bulrushstack {

/// Shown in findings in place of a value that must not be printed.
inline constexpr std::string_view redactedValue = "(hidden)";

/// Returns the JSON pointer of a member of the object that `base` points to.
std::string childPointer(const std::string& base, std::string_view key);

/// Returns whether the text is a valid name of an object of the configuration.
bool isObjectName(std::string_view text);

/// What isObjectName() accepts, for messages.
inline constexpr std::string_view objectNameRequirement = "a name that matches [a-z0-9][a-z0-9._-]{0,62}";

/// Collects what is wrong with a document.
class ValidationErrors {
public:
    enum class ParameterState {
        Expanded, ///< every string is checked
        Unexpanded, ///< strings that refer to parameters are checked only after the expansion
    };

    explicit ValidationErrors(ParameterState parameterState = ParameterState::Expanded)
        : m_parameterState(parameterState)
    {
    }

    void add(std::string path, std::string value, std::string permitted);

    /// Adds a finding on a value of the wrong type. Arrays and objects are named by type only, since they may hold
    /// token digests.
    void addWrongType(const std::string& path, const nlohmann::json& value, std::string permitted);

    /// Returns the text if the value is a string that `isPermitted` accepts, else adds a finding. Returns an empty
    /// optional without a finding for a string whose parameters are still open.
    std::optional<std::string> checkText(const nlohmann::json& value, const std::string& path,
        std::string_view permitted, const std::function<bool(const std::string&)>& isPermitted);

    std::vector<ValidationError>& list() { return m_list; }
    bool hasPath(std::string_view path) const;

private:
    ParameterState m_parameterState;
    std::vector<ValidationError> m_list;
};

/// Reads the members of one object and reports members that nobody asked for.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& value, std::string path, ValidationErrors& errors);

    /// Returns the member; null if it is absent. Adds a finding if it is required and absent.
    const nlohmann::json* find(std::string_view name, std::string_view permittedIfRequired = {});

    /// Checks a member by Findings::checkText().
    std::optional<std::string> text(std::string_view name, bool isRequired, std::string_view permitted,
        const std::function<bool(const std::string&)>& isPermitted);

    /// Returns the member if it is an array, else an empty array; a member of another type is a finding.
    const nlohmann::json& array(std::string_view name, std::string_view permitted);

    /// Returns the member if it is an object, else an empty object; a member of another type is a finding.
    const nlohmann::json& object(std::string_view name, std::string_view permitted);

    std::string pathOf(std::string_view name) const { return childPointer(m_path, name); }
    bool isObject() const { return m_value != nullptr; }

    /// Adds a finding for each member that was not read. Its value is not printed: it may be a misplaced secret.
    void reportUnknownFields();

private:
    const nlohmann::json* m_value = nullptr;
    std::string m_path;
    ValidationErrors& m_errors;
    std::set<std::string, std::less<>> m_readFields;
};

/// Returns the keys of a map as a list for messages, shortened if there are many.
template <typename Map> std::string listKeys(const Map& map)
{
    static constexpr std::size_t limit = 20;
    std::string out;
    std::size_t n = 0;
    for (const auto& [key, value] : map) {
        if (n++ == limit)
            return out + ", ...";
        out += (out.empty() ? "" : ", ") + key;
    }
    return out.empty() ? "none are defined" : out;
}

} // namespace bulrushstack
