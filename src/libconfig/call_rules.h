#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Returns the percent-decoded segments of a path without its query, with empty and dot segments removed as a server
/// would resolve them. Escapes are decoded before the split, so that "%2F" and "%2e%2e" cannot hide a segment. Empty
/// if the path has a broken escape.
std::optional<std::vector<std::string>> normalisedSegments(std::string_view path);

/// Returns whether the path of a rule is absolute and means the same with and without normalisation.
bool isNormalisedRulePath(std::string_view path);

} // namespace bulrushstack
