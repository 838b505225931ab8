#include "document_reader.h"

#include <algorithm>

namespace bulrushstack {

namespace {

const nlohmann::json emptyArray = nlohmann::json::array();
const nlohmann::json emptyObject = nlohmann::json::object();

/// Truncates a long value, so that an error message stays readable.
std::string shorten(std::string text)
{
    static constexpr std::size_t limit = 80;
    if (text.size() > limit)
        text = text.substr(0, limit) + "...";
    return text;
}

} // namespace

std::string childPointer(const std::string& base, std::string_view key)
{
    std::string out = base + "/";
    for (char c : key) {
        if (c == '~')
            out += "~0";
        else if (c == '/')
            out += "~1";
        else
            out += c;
    }
    return out;
}

bool isObjectName(std::string_view text)
{
    static constexpr std::size_t limit = 63;
    const auto isAlphanumeric = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
    if (text.empty() || text.size() > limit || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(
        text.begin(), text.end(), [&](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

void ValidationErrors::add(std::string path, std::string value, std::string permitted)
{
    m_list.push_back(
        { .path = std::move(path), .value = shorten(std::move(value)), .permitted = std::move(permitted) });
}

void ValidationErrors::addWrongType(const std::string& path, const nlohmann::json& value, std::string permitted)
{
    const bool isPrintable = value.is_boolean() || value.is_number() || value.is_null();
    add(path, isPrintable ? value.dump() : std::string("(") + value.type_name() + ")", std::move(permitted));
}

std::optional<std::string> ValidationErrors::checkText(const nlohmann::json& value, const std::string& path,
    std::string_view permitted, const std::function<bool(const std::string&)>& isPermitted)
{
    if (!value.is_string()) {
        addWrongType(path, value, std::string(permitted));
        return std::nullopt;
    }
    const auto& text = value.get_ref<const std::string&>();
    if (m_parameterState == ParameterState::Unexpanded && text.find("${") != std::string::npos)
        return std::nullopt;
    if (isPermitted(text))
        return text;
    add(path, text, std::string(permitted));
    return std::nullopt;
}

bool ValidationErrors::hasPath(std::string_view path) const
{
    return std::any_of(m_list.begin(), m_list.end(), [&](const auto& it) { return it.path == path; });
}

ObjectReader::ObjectReader(const nlohmann::json& value, std::string path, ValidationErrors& errors)
    : m_value(value.is_object() ? &value : nullptr)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!m_value)
        m_errors.addWrongType(m_path, value, "an object");
}

const nlohmann::json* ObjectReader::find(std::string_view name, std::string_view permittedIfRequired)
{
    m_readFields.emplace(name);
    if (!m_value)
        return nullptr;
    auto it = m_value->find(name);
    if (it != m_value->end())
        return &*it;
    if (!permittedIfRequired.empty())
        m_errors.add(pathOf(name), "(absent)", std::string(permittedIfRequired));
    return nullptr;
}

std::optional<std::string> ObjectReader::text(std::string_view name, bool isRequired, std::string_view permitted,
    const std::function<bool(const std::string&)>& isPermitted)
{
    const auto* value = find(name, isRequired ? permitted : std::string_view());
    return value ? m_errors.checkText(*value, pathOf(name), permitted, isPermitted) : std::nullopt;
}

const nlohmann::json& ObjectReader::array(std::string_view name, std::string_view permitted)
{
    const auto* value = find(name);
    if (!value || value->is_array())
        return value ? *value : emptyArray;
    m_errors.addWrongType(pathOf(name), *value, std::string(permitted));
    return emptyArray;
}

const nlohmann::json& ObjectReader::object(std::string_view name, std::string_view permitted)
{
    const auto* value = find(name);
    if (!value || value->is_object())
        return value ? *value : emptyObject;
    m_errors.addWrongType(pathOf(name), *value, std::string(permitted));
    return emptyObject;
}

void ObjectReader::reportUnknownFields()
{
    if (!m_value)
        return;
    std::string permitted = "one of the fields";
    for (const auto& it : m_readFields)
        permitted += " " + it;
    for (const auto& [key, value] : m_value->items()) {
        if (!m_readFields.contains(key))
            m_errors.add(pathOf(key), "(unknown field)", permitted);
    }
}

} // namespace bulrushstack
