#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Encodes the data as base64 with padding (RFC 4648, section 4).
std::string encodeBase64(std::string_view data);

/// Decodes base64 with padding. Returns an empty optional if the text is malformed.
std::optional<std::string> decodeBase64(const std::string& text);

} // namespace bulrushstack
