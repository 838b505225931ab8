// Stand-ins for the packages config, membership and routing until their libraries are on the main branch.
#include "bulrushstack/config/configuration.h"
#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/routing/router.h"

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

Directory::Directory(const Clock& clock, DirectoryOptions options)
    : m_clock(clock)
    , m_options(options)
{
}

void Directory::updateRoster(const std::vector<InstanceRecord>& records)
{
    for (const auto& it : records)
        m_members[it.id].record = it;
}

void Directory::noteConnection(std::string_view, bool) { }

void Directory::noteLoad(std::string_view id, LoadReport report)
{
    m_members.find(id)->second.load = std::move(report);
}

void Directory::beginRequest(std::string_view id) { ++m_members.find(id)->second.inFlight; }

void Directory::endRequest(std::string_view id) { --m_members.find(id)->second.inFlight; }

UpstreamSnapshot Directory::upstreams() const
{
    UpstreamSnapshot out;
    for (const auto& [id, member] : m_members)
        out.push_back({ .record = member.record, .inFlight = member.inFlight, .load = member.load });
    return out;
}

RouteDecision chooseUpstream(
    const UpstreamSnapshot& upstreams, const RouteRequest& request, const RoutingOptions& options)
{
    NoRoute reason;
    for (const auto& it : upstreams) {
        if (!it.load || it.load->resident.empty() || it.load->resident.front().model != request.model)
            continue;
        if (request.excluded.contains(it.record.id))
            reason.reason = NoRouteReason::AllExcluded;
        else if (it.inFlight >= options.concurrencyLimit)
            reason.reason = NoRouteReason::AllFull;
        else
            return Route { .upstreamId = it.record.id, .address = it.record.address };
    }
    return reason;
}

} // namespace bulrushstack
