#pragma once

#include "document_reader.h"

#include <map>

namespace bulrushstack {

using ParameterValues = std::map<std::string, std::string, std::less<>>;

/// Adds a finding for each reference in a string of the template to a parameter that it does not declare, and for
/// each "${" without "}".
void checkParameterReferences(
    const nlohmann::json& value, const std::string& path, const ParameterValues& parameters, ValidationErrors& errors);

/// Returns the template with the references in all strings replaced, except in its declaration of the parameters.
/// Replaced text is not expanded again; references to unknown parameters stay as they are.
nlohmann::json expandTemplate(const nlohmann::json& value, const ParameterValues& parameters);

} // namespace bulrushstack
