#include "bulrushstack/serving/serving_configuration.h"

#include <algorithm>

namespace bulrushstack {

std::string_view toString(CallKind kind)
{
    switch (kind) {
    case CallKind::Idempotent:
        return "idempotent";
    case CallKind::NonIdempotent:
        return "non-idempotent";
    case CallKind::Stream:
        return "stream";
    }
    return "unknown";
}

std::string_view chooseService(const RouteSpec& route, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const auto& it : route.services)
        total += it.weight;
    if (total == 0)
        return route.services.empty() ? std::string_view() : std::string_view(route.services.front().service);
    std::uint64_t point = random % total;
    for (const auto& it : route.services) {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return {};
}

const ModelSpec* EngineSpec::findModel(std::string_view name) const
{
    auto it = std::find_if(models.begin(), models.end(), [&](const ModelSpec& model) { return model.name == name; });
    return it == models.end() ? nullptr : &*it;
}

ServingConfiguration::ServingConfiguration(std::uint64_t version, std::vector<RouteSpec> routes,
    std::vector<ServiceSpec> services, RequestLimits limits, TeamDirectoryPtr teams)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
    , m_teams(std::move(teams))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_routesByHost[m_routes[i].host].push_back(i);
    for (auto& [host, indices] : m_routesByHost) {
        std::stable_sort(indices.begin(), indices.end(),
            [this](std::size_t a, std::size_t b) { return m_routes[a].prefix.size() > m_routes[b].prefix.size(); });
    }
}

const RouteSpec* ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    auto it = m_routesByHost.find(std::string(host));
    if (it == m_routesByHost.end())
        return nullptr;
    for (const auto i : it->second) {
        if (path.starts_with(m_routes[i].prefix))
            return &m_routes[i];
    }
    return nullptr;
}

const ServiceSpec* ServingConfiguration::findService(std::string_view name) const
{
    auto it = std::find_if(
        m_services.begin(), m_services.end(), [&](const ServiceSpec& service) { return service.name == name; });
    return it == m_services.end() ? nullptr : &*it;
}

} // namespace bulrushstack
