#pragma once

#include <string>
#include <string_view>

namespace bulrushstack {

/// Encodes the bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

/// Returns 128 random bits as 32 hexadecimal digits; used as id of requests, attempts and configuration changes. Throws
/// std::runtime_error if the system has no random numbers.
std::string randomId();

/// Returns the SHA-256 digest of the data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// Returns the HMAC-SHA256 of the data under the key as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view data);

/// Compares two secrets in a time that does not depend on the position of the first difference, to prevent timing
/// attacks.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace bulrushstack
