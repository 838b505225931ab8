#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Returns the data in base64 with padding (RFC 4648, 4).
std::string encodeBase64(std::string_view data);

/// Returns the data that a base64 text with padding holds, or an empty optional if the text is malformed.
std::optional<std::string> decodeBase64(const std::string& text);

} // namespace bulrushstack
