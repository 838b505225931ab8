#pragma once

#include "bulrushstack/config/configuration_store.h"

namespace bulrushstack {

/// Names of the rows of section 12 of the design page.
inline const std::string configurationTable = "config";
inline const std::string headKey = "head";
inline const std::string revisionPrefix = "revision/";
std::string revisionKey(std::uint64_t revision);
std::string changeKey(std::string_view changeId);

/// Conversion of the row config/head; an empty optional for a malformed row.
nlohmann::json headToJson(const ConfigurationHead& head);
std::optional<ConfigurationHead> headFromJson(const nlohmann::json& value);

/// Returns a digest of everything in a change but its id; tells a repeated change from another one with the same id.
std::string contentDigest(const ConfigurationChange& change);

/// Returns what is wrong with a change apart from the document that it leads to.
std::vector<ValidationError> validateChange(const ConfigurationChange& change);

/// Returns whether the record edits one of the objects that the change edits.
bool editsSameObject(const ConfigurationRecord& record, const ConfigurationChange& change);

/// Checks the text of a document against the head that names it and validates it. Fails with Errc::Malformed if the
/// digest or the revision differ, with Errc::InvalidArgument if the document does not validate.
Result<ConfigurationPtr> verifyAndParse(const ConfigurationHead& head, std::string_view text);

/// Returns a time as UTC in ISO 8601 with seconds.
std::string formatUtc(WallTime time);

} // namespace bulrushstack
