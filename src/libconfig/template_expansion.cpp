#include "template_expansion.h"

namespace bulrushstack {

namespace {

constexpr std::string_view referenceStart = "${";

/// Calls `onText` with each piece of text between references and `onReference` with the name in each "${name}". Returns
/// whether every "${" has a closing brace.
template <typename OnText, typename OnReference>
bool scanReferences(std::string_view text, OnText onText, OnReference onReference)
{
    while (true) {
        const auto begin = text.find(referenceStart);
        onText(text.substr(0, begin));
        if (begin == std::string_view::npos)
            return true;
        const auto end = text.find('}', begin);
        if (end == std::string_view::npos) {
            onText(text.substr(begin));
            return false;
        }
        onReference(text.substr(begin + referenceStart.size(), end - begin - referenceStart.size()));
        text = text.substr(end + 1);
    }
}

std::string expandText(const std::string& text, const ParameterValues& parameters)
{
    std::string out;
    scanReferences(
        text, [&](std::string_view part) { out += part; },
        [&](std::string_view name) {
            auto it = parameters.find(name);
            out += it == parameters.end() ? "${" + std::string(name) + "}" : it->second;
        });
    return out;
}

nlohmann::json expandValue(const nlohmann::json& value, const ParameterValues& parameters)
{
    if (value.is_string())
        return expandText(value.get_ref<const std::string&>(), parameters);
    auto out = value;
    if (out.is_structured()) {
        for (auto& it : out)
            it = expandValue(it, parameters);
    }
    return out;
}

void checkReferences(
    const std::string& text, const std::string& path, const ParameterValues& parameters, ValidationErrors& errors)
{
    bool isKnown = true;
    const bool isClosed = scanReferences(
        text, [](std::string_view) {}, [&](std::string_view name) { isKnown = isKnown && parameters.contains(name); });
    if (!isKnown)
        errors.add(
            path, text, "a string that uses only parameters that the template declares: " + listKeys(parameters));
    else if (!isClosed)
        errors.add(path, text, "a string with a closing brace for each ${");
}

} // namespace

void checkParameterReferences(
    const nlohmann::json& value, const std::string& path, const ParameterValues& parameters, ValidationErrors& errors)
{
    if (value.is_string())
        checkReferences(value.get_ref<const std::string&>(), path, parameters, errors);
    if (!value.is_structured())
        return;
    for (const auto& [key, member] : value.items())
        checkParameterReferences(member, childPointer(path, key), parameters, errors);
}

nlohmann::json expandTemplate(const nlohmann::json& value, const ParameterValues& parameters)
{
    auto out = expandValue(value, parameters);
    if (value.is_object() && value.contains("parameters"))
        out["parameters"] = value["parameters"];
    return out;
}

} // namespace bulrushstack
