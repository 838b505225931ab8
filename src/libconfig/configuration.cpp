#include "bulrushstack/config/configuration.h"

#include "bulrushstack/kernel/ids.h"

namespace bulrushstack {

namespace {

template <typename Map> const typename Map::mapped_type* findValue(const Map& map, std::string_view key)
{
    auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace

std::string_view toString(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Live:
        return "live";
    case Urgency::Interactive:
        return "interactive";
    case Urgency::Batch:
        return "batch";
    }
    return "batch";
}

std::optional<Urgency> parseUrgency(std::string_view text)
{
    for (auto urgency : { Urgency::Live, Urgency::Interactive, Urgency::Batch }) {
        if (text == toString(urgency))
            return urgency;
    }
    return std::nullopt;
}

ConfigurationPtr Configuration::empty()
{
    static const ConfigurationPtr configuration = parse({ { "schema", 1 }, { "revision", 0 } }).configuration;
    return configuration;
}

const Team* Configuration::teamByToken(std::string_view token) const
{
    const auto* name = findValue(m_teamsByTokenDigest, sha256Hex(token));
    return name ? team(*name) : nullptr;
}

const Team* Configuration::team(std::string_view name) const { return findValue(m_teams, name); }

const ModelDefinition* Configuration::model(std::string_view id) const { return findValue(m_models, id); }

const ServiceDefinition* Configuration::service(std::string_view name) const { return findValue(m_services, name); }

} // namespace bulrushstack
