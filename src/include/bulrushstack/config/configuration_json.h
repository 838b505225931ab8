#pragma once

#include "bulrushstack/config/configuration_store.h"

namespace bulrushstack {

/// JSON forms of the operator API and of the rows in the table service. The parsers fail with Errc::Malformed and say
/// in the detail what is wrong.
nlohmann::json toJson(const ConfigurationRecord& record);
Result<ConfigurationRecord> recordFromJson(const nlohmann::json& value);

nlohmann::json toJson(const ConfigurationChange& change);

/// Unknown fields are an error, so that a misspelt field is not ignored.
Result<ConfigurationChange> changeFromJson(const nlohmann::json& value);

nlohmann::json toJson(const std::vector<ValidationError>& errors);
Result<std::vector<ValidationError>> validationErrorsFromJson(const nlohmann::json& value);

/// Returns the document with every token digest replaced by a fixed word.
nlohmann::json redactTokens(nlohmann::json document);

/// Returns the kind of the objects in a section of the document, such as "template" for "templates"; empty if there
/// is no such section.
std::string_view kindOfSection(std::string_view section);

/// Returns the section that holds objects of the kind; empty if there is no such kind.
std::string_view sectionOfKind(std::string_view kind);

} // namespace bulrushstack
