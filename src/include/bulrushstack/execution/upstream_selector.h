#pragma once

#include "bulrushstack/membership/directory.h"
#include "bulrushstack/routing/router.h"

#include <utility>
#include <variant>

namespace bulrushstack {

/// Holds one request's place on an upstream: counted as in flight from construction to destruction.
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

    /// Tells the directory whether the upstream could be reached.
    void noteConnection(bool isSuccess) { m_directory->recordConnection(m_route.upstreamId, isSuccess); }

private:
    InstanceDirectory* m_directory;
    Route m_route;
};

/// Applies the routing decision to the directory. All methods run on one thread.
class UpstreamSelector {
public:
    UpstreamSelector(InstanceDirectory& directory, RoutingOptions options)
        : m_directory(directory)
        , m_options(options)
    {
    }

    /// Chooses an upstream and takes a slot on it.
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
