#pragma once

#include "document_reader.h"

namespace bulrushstack {

/// Models and services of the document, to which a template may refer.
struct TemplateScope {
    const std::map<std::string, ModelDefinition, std::less<>>& models;
    const std::map<std::string, ServiceDefinition, std::less<>>& services;
};

/// Reads the permissions and limits that a template gives to its teams. The name and template name of the returned team
/// are empty, and fields with validation errors have their default values.
Team readTemplate(
    const nlohmann::json& value, const std::string& path, const TemplateScope& scope, ValidationErrors& errors);

} // namespace bulrushstack
