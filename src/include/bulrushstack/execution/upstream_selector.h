#pragma once

#include "bulrushstack/membership/directory.h"
#include "bulrushstack/routing/router.h"

#include <utility>
#include <variant>

namespace bulrushstack {

/// RAII guard that counts one request as in flight on an upstream from construction to destruction.
class UpstreamSlot {
public:
    UpstreamSlot(InstanceDirectory& directory, Route route)
        : m_directory(&directory)
        , m_route(std::move(route))
    {
        m_directory->beginRequest(m_route.upstreamId);
    }

    UpstreamSlot(UpstreamSlot&& other) noexcept
        : m_directory(std::exchange(other.m_directory, nullptr))
        , m_route(std::move(other.m_route))
    {
    }

    UpstreamSlot& operator=(UpstreamSlot&&) = delete;

    ~UpstreamSlot()
    {
        if (m_directory)
            m_directory->endRequest(m_route.upstreamId);
    }

    const Route& route() const { return m_route; }

    /// Records in the directory whether a connection to the upstream succeeded.
    void recordConnectionResult(bool isSuccess) { m_directory->recordConnection(m_route.upstreamId, isSuccess); }

private:
    InstanceDirectory* m_directory;
    Route m_route;
};

/// Chooses upstreams from the directory according to the routing policy. All methods must be called on the same thread.
class UpstreamSelector {
public:
    UpstreamSelector(InstanceDirectory& directory, RoutingOptions options)
        : m_directory(directory)
        , m_options(options)
    {
    }

    /// Chooses an upstream and counts the request as in flight on it, or returns why there is none.
    std::variant<UpstreamSlot, NoRoute> select(const RouteRequest& request)
    {
        auto decision = chooseUpstream(m_directory.upstreams(), request, m_options);
        if (auto* route = std::get_if<Route>(&decision))
            return UpstreamSlot(m_directory, std::move(*route));
        return std::get<NoRoute>(decision);
    }

private:
    InstanceDirectory& m_directory;
    RoutingOptions m_options;
};

} // namespace bulrushstack
