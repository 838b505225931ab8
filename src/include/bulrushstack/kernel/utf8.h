#pragma once

#include <string_view>

namespace bulrushstack {

/// Returns whether the text is valid UTF-8 (RFC 3629), so that JSON can represent it.
bool isUtf8(std::string_view text);

} // namespace bulrushstack
