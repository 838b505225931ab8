#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Returns the percent-decoded segments of a path without its query. Empty segments are removed and dot segments are
/// resolved as a server does. Escapes are decoded before the path is split, so that "%2F" and "%2e%2e" cannot hide a
/// segment. Returns an empty optional if the path has an invalid percent escape.
std::optional<std::vector<std::string>> normalisedSegments(std::string_view path);

/// Returns whether the path is absolute and already in normalised form, as the path of a rule must be.
bool isNormalisedRulePath(std::string_view path);

} // namespace bulrushstack
