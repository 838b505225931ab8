#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack::detail {

/// Parses JSON from the platform. Returns a discarded value for anything but JSON in UTF-8 of limited depth, since
/// copying and writing a json value recurse and deep nesting would exhaust the stack.
nlohmann::json parsePlatformJson(std::string_view text);

/// Returns the member, or null if the value is no object or has no such member.
const nlohmann::json* findMember(const nlohmann::json& value, const char* name);

/// Typed access to a member; empty if it is absent or has another type or range.
std::optional<std::string> stringMember(const nlohmann::json& value, const char* name);
std::optional<std::uint64_t> unsignedMember(const nlohmann::json& value, const char* name);
std::optional<bool> boolMember(const nlohmann::json& value, const char* name);

} // namespace bulrushstack::detail
