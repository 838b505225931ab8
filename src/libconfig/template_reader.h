#pragma once

#include "document_reader.h"

namespace bulrushstack {

/// The objects that a template may refer to.
struct TemplateScope {
    const std::map<std::string, ModelDefinition, std::less<>>& models;
    const std::map<std::string, ServiceDefinition, std::less<>>& services;
};

/// Reads what a template grants; name, template name and tokens of the team are left empty. Members with findings are
/// left at their defaults.
Team readTemplate(
    const nlohmann::json& value, const std::string& path, const TemplateScope& scope, ValidationErrors& errors);

} // namespace bulrushstack
