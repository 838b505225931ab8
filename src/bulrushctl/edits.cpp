#include "edits.h"

#include "bulrushstack/config/configuration_json.h"

namespace bulrushstack {

namespace {

EditParseResult parseError(std::string error)
{
    EditParseResult out;
    out.error = std::move(error);
    return out;
}

void appendSection(std::string_view kind, const nlohmann::json& objects, EditParseResult& out)
{
    for (const auto& [name, value] : objects.items()) {
        ConfigurationEdit edit { .kind = std::string(kind), .name = name, .value = std::nullopt };
        if (!value.is_null())
            edit.value = value;
        out.edits.push_back(std::move(edit));
    }
}

} // namespace

EditParseResult parseFileEdits(const nlohmann::json& file, std::string_view section)
{
    if (!file.is_object())
        return parseError("the file is not a JSON object");
    EditParseResult out;
    for (const auto& [key, value] : file.items()) {
        const auto kind = kindOfSection(key);
        if (key == "schema")
            continue;
        if (key == "revision" && value.is_number_unsigned())
            out.baseRevision = value.get<std::uint64_t>();
        else if (kind.empty() || (!section.empty() && key != section))
            return parseError("the field \"" + key + "\" of the file is unknown or has an invalid value; permitted: "
                + (section.empty() ? "models, services, teams, templates" : std::string(section)) + " and revision");
        else if (!value.is_object())
            return parseError("the field \"" + key + "\" is not an object");
        else
            appendSection(kind, value, out);
    }
    return out.edits.empty() ? parseError("the file contains no objects") : out;
}

EditParseResult makeNewTeamEdits(
    std::string name, std::string templateName, const std::vector<std::string>& parameters, std::string tokenDigest)
{
    auto values = nlohmann::json::object();
    for (const auto& it : parameters) {
        const auto equals = it.find('=');
        if (equals == std::string::npos || equals == 0)
            return parseError("--parameter: '" + it + "' is not permitted; expected KEY=VALUE");
        if (!values.emplace(it.substr(0, equals), it.substr(equals + 1)).second)
            return parseError("--parameter: '" + it.substr(0, equals) + "' is specified more than once");
    }
    nlohmann::json team { { "template", std::move(templateName) }, { "parameters", std::move(values) },
        { "token_sha256", nlohmann::json::array({ std::move(tokenDigest) }) } };
    EditParseResult out;
    out.edits.push_back({ .kind = "team", .name = std::move(name), .value = std::move(team) });
    return out;
}

} // namespace bulrushstack
