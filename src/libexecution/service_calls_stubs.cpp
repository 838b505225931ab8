// A stand-in for the part of the package config that the tests of this folder use. It is linked only while that
// package is not in the tree.
#include "bulrushstack/config/configuration.h"

namespace bulrushstack {

class ConfigurationParser {
public:
    static ConfigurationPtr make(const nlohmann::json& document)
    {
        auto out = std::shared_ptr<Configuration>(new Configuration());
        for (const auto& [name, value] : document.at("services").items())
            out->m_services[name] = { .name = name, .statusPath = value.value("status_path", "") };
        for (const auto& [name, value] : document.at("teams").items())
            out->m_teams[name].name = name;
        return out;
    }
};

ConfigurationOutcome Configuration::parse(const nlohmann::json& document)
{
    return { ConfigurationParser::make(document), {} };
}

const Team* Configuration::team(std::string_view name) const
{
    auto it = m_teams.find(name);
    return it == m_teams.end() ? nullptr : &it->second;
}

const ServiceDefinition* Configuration::service(std::string_view name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

bool Team::isIdempotent(std::string_view, std::string_view method, std::string_view) const
{
    return method != "POST" && method != "PATCH";
}

} // namespace bulrushstack
