#pragma once

#include "bulrushstack/config/configuration_store.h"

namespace bulrushstack {

/// Edits read from a file or from flags, or what is wrong with them.
struct EditParseResult {
    std::vector<ConfigurationEdit> edits;
    std::optional<std::uint64_t> baseRevision; ///< set if the file names the revision that it was based on
    std::string error;
};

/// Returns the edits of a file. `section` is the only section that is permitted; empty: all.
EditParseResult parseFileEdits(const nlohmann::json& file, std::string_view section);

/// Returns the edit that creates a team; `parameters` are KEY=VALUE.
EditParseResult makeNewTeamEdits(
    std::string name, std::string templateName, const std::vector<std::string>& parameters, std::string tokenDigest);

} // namespace bulrushstack
