#pragma once

#include "bulrushstack/config/configuration_store.h"

namespace bulrushstack {

/// Table and keys of the rows that hold the configuration, as section 12 of the design document defines them.
inline const std::string configurationTable = "config";
inline const std::string headKey = "head";
inline const std::string revisionPrefix = "revision/";
std::string revisionKey(std::uint64_t revision);
std::string changeKey(std::string_view changeId);

/// Conversions to and from the value of the row config/head, which peer messages use as well. Parsing returns an empty
/// optional if the value is malformed.
nlohmann::json headToJson(const ConfigurationHead& head);
std::optional<ConfigurationHead> headFromJson(const nlohmann::json& value);

/// Returns a digest of all fields of a change except its id. It distinguishes a change that is sent again from another
/// change with the same id.
std::string contentDigest(const ConfigurationChange& change);

/// Returns the errors in the fields of a change; does not validate the resulting document.
std::vector<ValidationError> validateChange(const ConfigurationChange& change);

/// Returns whether the record edits one of the objects that the change edits.
bool editsSameObject(const ConfigurationRecord& record, const ConfigurationChange& change);

/// Verifies that the text of a document matches the head that names it, and validates the document. Fails with
/// Errc::Malformed if the text is not canonical JSON or its digest or revision differs from the head, and with
/// Errc::InvalidArgument if the document is invalid.
Result<ConfigurationPtr> verifyAndParse(const ConfigurationHead& head, std::string_view text);

/// Returns the time in UTC in ISO 8601 format with a precision of one second, such as "2019-12-20T00:00:00Z".
std::string formatUtc(WallTime time);

} // namespace bulrushstack
