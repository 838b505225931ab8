#include "bulrushstack/config/configuration_json.h"

#include <set>

namespace bulrushstack {

namespace {

constexpr std::pair<std::string_view, std::string_view> sections[] = {
    { "templates", "template" },
    { "teams", "team" },
    { "models", "model" },
    { "services", "service" },
};

Failure malformed(std::string detail)
{
    return { .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = std::move(detail) };
}

/// Returns an error message unless the value is an object with exactly the given fields; empty if it is.
std::string checkFields(const nlohmann::json& value, const std::string& where, const std::set<std::string>& names)
{
    if (!value.is_object())
        return where + " is not an object";
    for (const auto& name : names) {
        if (!value.contains(name))
            return where + " is missing the field \"" + name + "\"";
    }
    for (const auto& [key, member] : value.items()) {
        if (!names.contains(key))
            return where + " has the unknown field \"" + key + "\"";
    }
    return {};
}

ConfigurationEdit editFromJson(const nlohmann::json& value)
{
    ConfigurationEdit edit;
    edit.kind = value.at("kind").get<std::string>();
    edit.name = value.at("name").get<std::string>();
    if (!value.at("value").is_null())
        edit.value = value.at("value");
    return edit;
}

} // namespace

nlohmann::json toJson(const ConfigurationRecord& record)
{
    auto objects = nlohmann::json::array();
    for (const auto& [kind, name] : record.objects)
        objects.push_back({ { "kind", kind }, { "name", name } });
    return { { "revision", record.revision }, { "change_id", record.changeId }, { "author", record.author },
        { "accepted_at", record.acceptedAt }, { "digest", record.digest }, { "objects", std::move(objects) } };
}

Result<ConfigurationRecord> recordFromJson(const nlohmann::json& value)
{
    try {
        ConfigurationRecord out;
        out.revision = value.at("revision").get<std::uint64_t>();
        out.changeId = value.at("change_id").get<std::string>();
        out.author = value.at("author").get<std::string>();
        out.acceptedAt = value.at("accepted_at").get<std::string>();
        out.digest = value.at("digest").get<std::string>();
        for (const auto& it : value.at("objects"))
            out.objects.emplace_back(it.at("kind").get<std::string>(), it.at("name").get<std::string>());
        return out;
    } catch (const nlohmann::json::exception& e) {
        return malformed(e.what());
    }
}

nlohmann::json toJson(const ConfigurationChange& change)
{
    auto edits = nlohmann::json::array();
    for (const auto& it : change.edits)
        edits.push_back({ { "kind", it.kind }, { "name", it.name }, { "value", it.value.value_or(nullptr) } });
    return { { "change_id", change.changeId }, { "author", change.author }, { "base_revision", change.baseRevision },
        { "edits", std::move(edits) } };
}

Result<ConfigurationChange> changeFromJson(const nlohmann::json& value)
{
    auto error = checkFields(value, "the change", { "change_id", "author", "base_revision", "edits" });
    if (!error.empty())
        return malformed(std::move(error));
    if (!value.at("base_revision").is_number_unsigned())
        return malformed("\"base_revision\" is not a non-negative integer");
    if (!value.at("edits").is_array())
        return malformed("\"edits\" is not an array");
    try {
        ConfigurationChange out;
        out.changeId = value.at("change_id").get<std::string>();
        out.author = value.at("author").get<std::string>();
        out.baseRevision = value.at("base_revision").get<std::uint64_t>();
        for (const auto& it : value.at("edits")) {
            error = checkFields(it, "edit " + std::to_string(out.edits.size()), { "kind", "name", "value" });
            if (!error.empty())
                return malformed(std::move(error));
            out.edits.push_back(editFromJson(it));
        }
        return out;
    } catch (const nlohmann::json::exception&) {
        return malformed("\"change_id\", \"author\", \"kind\" and \"name\" must be strings");
    }
}

nlohmann::json toJson(const std::vector<ValidationError>& errors)
{
    auto out = nlohmann::json::array();
    for (const auto& it : errors)
        out.push_back({ { "path", it.path }, { "value", it.value }, { "permitted", it.permitted } });
    return out;
}

Result<std::vector<ValidationError>> validationErrorsFromJson(const nlohmann::json& value)
{
    try {
        std::vector<ValidationError> out;
        for (const auto& it : value) {
            out.push_back({ .path = it.at("path").get<std::string>(),
                .value = it.at("value").get<std::string>(),
                .permitted = it.at("permitted").get<std::string>() });
        }
        return out;
    } catch (const nlohmann::json::exception& e) {
        return malformed(e.what());
    }
}

nlohmann::json redactTokens(nlohmann::json document)
{
    if (!document.contains("teams"))
        return document;
    for (auto& team : document["teams"]) {
        if (!team.contains("token_sha256"))
            continue;
        for (auto& it : team["token_sha256"])
            it = "(redacted)";
    }
    return document;
}

std::string_view kindOfSection(std::string_view section)
{
    for (const auto& [name, kind] : sections) {
        if (name == section)
            return kind;
    }
    return {};
}

std::string_view sectionOfKind(std::string_view kind)
{
    for (const auto& [section, name] : sections) {
        if (name == kind)
            return section;
    }
    return {};
}

} // namespace bulrushstack
