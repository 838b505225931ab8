#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace bulrushstack {

/// Parses JSON from outside. Returns a discarded value if the text is not JSON in UTF-8 or is nested too deeply:
/// nlohmann::json copies and serializes values recursively, so deep nesting would exhaust the stack.
nlohmann::json parseBoundedJson(std::string_view text);

} // namespace bulrushstack
