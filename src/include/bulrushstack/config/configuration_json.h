#pragma once

#include "bulrushstack/config/configuration_store.h"

namespace bulrushstack {

/// Conversions to and from the JSON of the operator API and of the rows in the table service. The parsers fail with
/// Errc::Malformed; the failure's detail names the error.
nlohmann::json toJson(const ConfigurationRecord& record);
Result<ConfigurationRecord> recordFromJson(const nlohmann::json& value);

nlohmann::json toJson(const ConfigurationChange& change);

/// Parses a change. Unknown fields are errors, so that a misspelt field is not silently ignored.
Result<ConfigurationChange> changeFromJson(const nlohmann::json& value);

nlohmann::json toJson(const std::vector<ValidationError>& errors);
Result<std::vector<ValidationError>> validationErrorsFromJson(const nlohmann::json& value);

/// Returns the document with every token digest replaced by "(redacted)".
nlohmann::json redactTokens(nlohmann::json document);

/// Returns the kind of the objects in a section of the document, such as "template" for the section "templates"; empty
/// if the document has no such section.
std::string_view kindOfSection(std::string_view section);

/// Returns the section of the document that holds objects of the given kind; empty if the kind is unknown.
std::string_view sectionOfKind(std::string_view kind);

} // namespace bulrushstack
