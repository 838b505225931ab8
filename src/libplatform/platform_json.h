#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack::detail {

/// Returns the member, or null if the value is not an object or has no such member.
const nlohmann::json* findMember(const nlohmann::json& value, const char* name);

/// Return the member with the expected type; an empty optional if it is absent, of another type or out of range.
std::optional<std::string> stringMember(const nlohmann::json& value, const char* name);
std::optional<std::uint64_t> unsignedMember(const nlohmann::json& value, const char* name);
std::optional<bool> boolMember(const nlohmann::json& value, const char* name);

} // namespace bulrushstack::detail
