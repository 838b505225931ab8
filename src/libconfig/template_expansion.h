#pragma once

#include "document_reader.h"

#include <map>

namespace bulrushstack {

/// Values of template parameters by name.
using ParameterValues = std::map<std::string, std::string, std::less<>>;

/// Adds an error for each string of the template that refers to a parameter that the template does not declare, or that
/// has a "${" without a closing brace.
void checkParameterReferences(
    const nlohmann::json& value, const std::string& path, const ParameterValues& parameters, ValidationErrors& errors);

/// Returns the template with the parameter references in all strings replaced by the values, except in the field
/// "parameters", which declares the defaults. Inserted values are not expanded again; references to unknown parameters
/// are left unchanged.
nlohmann::json expandTemplate(const nlohmann::json& value, const ParameterValues& parameters);

} // namespace bulrushstack
