#include "platform_json.h"

namespace bulrushstack::detail {

using json = nlohmann::json;

json parsePlatformJson(std::string_view text)
{
    static constexpr int depthLimit = 64;
    bool isTooDeep = false;
    auto value = json::parse(
        text,
        [&](int depth, json::parse_event_t, json&) {
            isTooDeep = isTooDeep || depth > depthLimit;
            return !isTooDeep;
        },
        false);
    return isTooDeep ? json(json::value_t::discarded) : value;
}

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
