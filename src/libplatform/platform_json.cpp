#include "platform_json.h"

namespace bulrushstack::detail {

using json = nlohmann::json;

const json* findMember(const json& value, const char* name)
{
    if (!value.is_object())
        return nullptr;
    const auto it = value.find(name);
    return it == value.end() ? nullptr : &*it;
}

std::optional<std::string> stringMember(const json& value, const char* name)
{
    const auto* member = findMember(value, name);
    return member && member->is_string() ? std::optional(member->get<std::string>()) : std::nullopt;
}

std::optional<std::uint64_t> unsignedMember(const json& value, const char* name)
{
    const auto* member = findMember(value, name);
    return member && member->is_number_unsigned() ? std::optional(member->get<std::uint64_t>()) : std::nullopt;
}

std::optional<bool> boolMember(const json& value, const char* name)
{
    const auto* member = findMember(value, name);
    return member && member->is_boolean() ? std::optional(member->get<bool>()) : std::nullopt;
}

} // namespace bulrushstack::detail
