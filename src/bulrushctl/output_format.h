#pragma once

#include "bulrushstack/config/configuration_store.h"

#include <chrono>

namespace bulrushstack {

/// Returns the rows as lines with aligned columns. The first row is the header.
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

/// Returns a line diff. Lines found only in `before` are prefixed with "-", lines found only in `after` with "+", and
/// common lines with " ". The result is empty if the texts are equal.
std::string formatDiff(const std::string& before, const std::string& after);

/// Returns the line diff of two configuration objects as indented JSON. A null value represents a missing object.
std::string formatObjectDiff(const nlohmann::json& before, const nlohmann::json& after);

/// Returns one line for each validation problem.
std::string formatProblems(const std::vector<ValidationError>& problems);

/// Returns one line for each competing change. Then follows, for each edit of an object that a competing change edited
/// too, the diff from the object in `document`, the active configuration, to the submitted object.
std::string formatConflict(const std::vector<ConfigurationRecord>& competing,
    const std::vector<ConfigurationEdit>& edits, const nlohmann::json& document);

/// Returns a table of the objects in a section, such as "teams", of the configuration document.
std::string formatObjects(std::string_view section, const nlohmann::json& document);

/// Returns a table of accepted changes.
std::string formatHistory(const std::vector<ConfigurationRecord>& records);

/// Returns the status document of an instance as text, with tables of its peers and upstreams.
std::string formatStatus(const nlohmann::json& status);

/// Returns whether the instance list on which a status document is based has at most the given age. A document of a
/// daemon that does not report the age counts as recent.
bool isInstanceListRecent(const nlohmann::json& status, std::chrono::nanoseconds maxAge);

/// Returns "ID at revision N" for each of the instance and its live peers that reports a lower revision, or none.
std::vector<std::string> laggingInstances(const nlohmann::json& status, std::uint64_t revision);

} // namespace bulrushstack
