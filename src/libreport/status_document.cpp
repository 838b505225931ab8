#include "status_document.h"

#include <set>

namespace bulrushstack {

namespace {

/// Returns the age in milliseconds, rounded up; null for the maximum value, which means that nothing was received.
nlohmann::json ageInMilliseconds(std::chrono::nanoseconds age)
{
    if (age == std::chrono::nanoseconds::max())
        return nullptr;
    return std::chrono::ceil<std::chrono::milliseconds>(age).count();
}

nlohmann::json peerDocument(const PeerView& peer)
{
    return { { "id", peer.record.id }, { "zone", peer.record.zone }, { "state", toString(peer.record.state) },
        { "incarnation", peer.record.incarnation }, { "revision", peer.revision },
        { "age_ms", ageInMilliseconds(peer.age) } };
}

nlohmann::json upstreamDocument(const UpstreamView& upstream)
{
    std::set<std::string> models;
    for (const auto& it : upstream.resident) {
        if (it.state == ResidentState::Ready)
            models.insert(it.model);
    }
    return { { "id", upstream.record.id }, { "role", toString(upstream.record.role) }, { "zone", upstream.record.zone },
        { "state", toString(upstream.record.state) }, { "incarnation", upstream.record.incarnation },
        { "in_flight", upstream.inFlight }, { "models", models } };
}

} // namespace

nlohmann::json statusDocument(const RuntimeService& runtime, const OperatorBackend& backend)
{
    const auto configuration = backend.configuration();
    auto peers = nlohmann::json::array();
    for (const auto& it : backend.peers()) {
        if (it.record.id != runtime.identity().id)
            peers.push_back(peerDocument(it));
    }
    auto upstreams = nlohmann::json::array();
    for (const auto& it : backend.upstreams())
        upstreams.push_back(upstreamDocument(it));
    return { { "instance", runtime.identity().id }, { "zone", runtime.identity().zone }, { "version", BULRUSH_VERSION },
        { "ready", runtime.isReady() }, { "unmet", runtime.unmetConditions() },
        { "revision", configuration->revision() }, { "digest", configuration->digest() }, { "peers", std::move(peers) },
        { "instances_age_ms", ageInMilliseconds(backend.instanceListAge()) }, { "upstreams", std::move(upstreams) } };
}

} // namespace bulrushstack
