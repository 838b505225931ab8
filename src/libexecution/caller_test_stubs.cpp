// Stand-in for the package config until its library is on the main branch.
#include "bulrushstack/config/configuration.h"
#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/kernel/settings.h"

namespace bulrushstack {

std::string_view toString(Urgency urgency)
{
    return urgency == Urgency::Live ? "live" : urgency == Urgency::Batch ? "batch" : "interactive";
}

std::optional<Urgency> parseUrgency(std::string_view text)
{
    for (auto it : { Urgency::Live, Urgency::Interactive, Urgency::Batch }) {
        if (toString(it) == text)
            return it;
    }
    return std::nullopt;
}

class ConfigurationParser {
public:
    static ConfigurationPtr parse(const nlohmann::json& document)
    {
        auto out = std::shared_ptr<Configuration>(new Configuration);
        for (const auto& [id, value] : document["models"].items())
            out->m_models[id].id = id;
        for (const auto& [name, value] : document["services"].items())
            out->m_services[name].name = name;
        for (const auto& [name, value] : document["teams"].items()) {
            const auto& source = document["templates"][value["template"].get<std::string>()];
            auto& team = out->m_teams[name];
            team.name = name;
            for (const auto& it : source["models"])
                team.models.insert(it.get<std::string>());
            for (const auto& it : source["services"])
                team.services.insert(it.get<std::string>());
            for (const auto& it : source["urgency"]["permitted"])
                team.permittedUrgencies.insert(*parseUrgency(it.get<std::string>()));
            team.defaultUrgency = *parseUrgency(source["urgency"]["default"].get<std::string>());
            team.defaultDeadline = *parseDuration(source["deadline"]["default"].get<std::string>());
            team.maximumDeadline = *parseDuration(source["deadline"]["max"].get<std::string>());
            for (const auto& it : value["token_sha256"])
                out->m_teamsByTokenDigest[it.get<std::string>()] = name;
        }
        return out;
    }
};

ConfigurationOutcome Configuration::parse(const nlohmann::json& document)
{
    return { .configuration = ConfigurationParser::parse(document), .problems = {} };
}

const Team* Configuration::teamByToken(std::string_view token) const
{
    auto it = m_teamsByTokenDigest.find(sha256Hex(token));
    return it == m_teamsByTokenDigest.end() ? nullptr : team(it->second);
}

const Team* Configuration::team(std::string_view name) const
{
    auto it = m_teams.find(name);
    return it == m_teams.end() ? nullptr : &it->second;
}

const ModelDefinition* Configuration::model(std::string_view id) const
{
    auto it = m_models.find(id);
    return it == m_models.end() ? nullptr : &it->second;
}

const ServiceDefinition* Configuration::service(std::string_view name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

} // namespace bulrushstack
