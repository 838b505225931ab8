#pragma once

#include "bulrushstack/config/configuration_store.h"

namespace bulrushstack {

/// Result of reading edits from a file or from flags: the edits, or an error message.
struct EditParseResult {
    std::vector<ConfigurationEdit> edits;
    std::optional<std::uint64_t> baseRevision; ///< set if the file names the revision on which it is based
    std::string error; ///< empty on success
};

/// Returns one edit for each object in a JSON file. Unless `section` is empty, the file may contain objects of only
/// that section, such as "teams".
EditParseResult parseFileEdits(const nlohmann::json& file, std::string_view section);

/// Returns the edit that creates a team from a template. Each parameter has the form KEY=VALUE; `tokenDigest` is the
/// SHA-256 digest of the team's bearer token in hexadecimal.
EditParseResult makeNewTeamEdits(
    std::string name, std::string templateName, const std::vector<std::string>& parameters, std::string tokenDigest);

} // namespace bulrushstack
