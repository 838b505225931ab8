#pragma once

#include "bulrushstack/config/configuration_store.h"

namespace bulrushstack {

/// Returns the rows as lines with aligned columns; the first row is the heading.
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

/// Returns the lines of both texts, those only in the first with "-", those only in the second with "+", common ones
/// with " "; empty if the texts are equal.
std::string formatDiff(const std::string& before, const std::string& after);

/// Returns the diff of two objects of the configuration as indented JSON; null stands for an absent object.
std::string formatObjectDiff(const nlohmann::json& before, const nlohmann::json& after);

/// Returns one line for each finding.
std::string formatProblems(const std::vector<ConfigurationProblem>& problems);

/// Returns one line for each competing change, then for each edit of a competing object the diff between what is in
/// force and what was sent.
std::string formatConflict(const std::vector<ConfigurationRecord>& competing,
    const std::vector<ConfigurationEdit>& edits, const nlohmann::json& document);

/// Returns a table of the objects in a section of the document.
std::string formatObjects(std::string_view section, const nlohmann::json& document);

std::string formatHistory(const std::vector<ConfigurationRecord>& records);
std::string formatStatus(const nlohmann::json& status);

/// Returns "ID at revision N" for the instance and each live peer below the revision.
std::vector<std::string> laggingInstances(const nlohmann::json& status, std::uint64_t revision);

} // namespace bulrushstack
