#pragma once

#include "bulrushstack/config/configuration.h"

#include <functional>
#include <set>

namespace bulrushstack {

/// Replaces a value that must not be printed, such as a token digest, in validation errors.
inline constexpr std::string_view redactedValue = "(hidden)";

/// Returns the JSON pointer to the member `key` of the object or array that `base` points to.
std::string childPointer(const std::string& base, std::string_view key);

/// Returns whether the text is a valid name for a template, team, model, service or parameter.
bool isObjectName(std::string_view text);

/// Describes the names that isObjectName() accepts, for error messages.
inline constexpr std::string_view objectNameRequirement = "a name that matches [a-z0-9][a-z0-9._-]{0,62}";

/// Collects the validation errors of a document.
class ValidationErrors {
public:
    enum class ParameterState {
        Expanded, ///< parameters have been replaced; every string is validated
        Unexpanded, ///< strings that refer to parameters are skipped; they are validated after the expansion
    };

    explicit ValidationErrors(ParameterState parameterState = ParameterState::Expanded)
        : m_parameterState(parameterState)
    {
    }

    void add(std::string path, std::string value, std::string permitted);

    /// Adds an error for a value of the wrong type. Strings, arrays and objects are reported by type only, because they
    /// may contain tokens or token digests.
    void addWrongType(const std::string& path, const nlohmann::json& value, std::string permitted);

    /// Returns the text if the value is a string that `isPermitted` accepts; otherwise adds an error. Returns an empty
    /// optional without an error for a string that refers to parameters, if parameters are not yet expanded.
    std::optional<std::string> checkText(const nlohmann::json& value, const std::string& path,
        std::string_view permitted, const std::function<bool(const std::string&)>& isPermitted);

    std::vector<ValidationError>& list() { return m_list; }

    /// Returns whether there is an error at the JSON pointer.
    bool hasPath(std::string_view path) const;

private:
    ParameterState m_parameterState;
    std::vector<ValidationError> m_list;
};

/// Reads the fields of a JSON object and reports the fields that were not read as unknown.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& value, std::string path, ValidationErrors& errors);

    /// Returns the field; null if it is absent. A field is required if `permittedIfRequired` is not empty; its absence
    /// is then an error.
    const nlohmann::json* find(std::string_view name, std::string_view permittedIfRequired = {});

    /// Reads a string field and validates it with ValidationErrors::checkText().
    std::optional<std::string> text(std::string_view name, bool isRequired, std::string_view permitted,
        const std::function<bool(const std::string&)>& isPermitted);

    /// Returns the field if it is an array, otherwise an empty array. A field of another type is an error.
    const nlohmann::json& array(std::string_view name, std::string_view permitted);

    /// Returns the field if it is an object, otherwise an empty object. A field of another type is an error.
    const nlohmann::json& object(std::string_view name, std::string_view permitted);

    /// Returns the JSON pointer to a field.
    std::string pathOf(std::string_view name) const { return childPointer(m_path, name); }
    bool isObject() const { return m_value != nullptr; }

    /// Adds an error for each field that was not read. Its value is not printed, because it may be a misplaced secret.
    void reportUnknownFields();

private:
    const nlohmann::json* m_value = nullptr;
    std::string m_path;
    ValidationErrors& m_errors;
    std::set<std::string, std::less<>> m_readFields;
};

/// Returns the keys of a map, separated by commas, for error messages. At most 20 keys are listed.
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
