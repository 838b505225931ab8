#pragma once

#include "bulrushstack/net/http_client.h"
#include "front_state.h"

#include <string>

namespace bulrushstack {

/// Tries to connect to upstreams while this instance seems cut off from them, so that it serves requests itself again
/// as soon as one accepts a connection.
class ReachabilityMonitor {
public:
    ReachabilityMonitor(FrontState& state, HttpClient& client);

    /// Runs until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() { m_isStopped = true; }

private:
    void probe();
    void logChange();

    FrontState& m_state;
    HttpClient& m_client;
    bool m_isStopped = false;
    bool m_wasCutOff = false;
};

/// Tries to connect to an upstream and records the result. Returns whether it accepts connections.
boost::asio::awaitable<bool> probeUpstream(FrontState& state, HttpClient& client, std::string id, Address address);

/// Returns up to `n` upstreams to probe, drawn at random; those whose connections have not failed come first.
std::vector<const UpstreamEntry*> upstreamsToProbe(FrontState& state, std::size_t n);

} // namespace bulrushstack
