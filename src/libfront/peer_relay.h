#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/origin_replicator.h"
#include "front_state.h"
#include "request_dependencies.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Headers of a request that one instance hands to another one.
inline constexpr std::string_view relayedAttemptsHeader = "Bulrush-Relayed-Attempts";
inline constexpr std::string_view relayedConfigurationHeader = "Bulrush-Relayed-Configuration";
/// Header of a response that says that the instance did not take the request, and why.
inline constexpr std::string_view relayRefusedHeader = "Bulrush-Relay-Refused";
inline constexpr unsigned relayRefusedStatus = 503;

/// Hands requests to other instances while this one is cut off from the upstreams. An instance that is cut off as well,
/// is shutting down, or has another configuration in force refuses; the next one is then asked.
class PeerRelay final : public RequestRelay {
public:
    PeerRelay(FrontState& state, HttpClient& client, const PeerSource& peers);

    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(
        HttpRequest request, RelayOptions options) override;

private:
    std::vector<Peer> usablePeers();
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> openAnywhere(HttpRequest request, RelayOptions options);
    void avoid(const Peer& peer, std::string_view reason);

    FrontState& m_state;
    HttpClient& m_client;
    const PeerSource& m_peers;
    std::map<std::string, SteadyTime> m_avoidedUntil; ///< Peers that could not serve a request, by instance.
};

/// Serves requests that other instances hand to this one. Each is handled like one of a client, but not handed on.
class RelayedRequestHandler final : public HttpHandler {
public:
    explicit RelayedRequestHandler(RequestDependencies dependencies)
        : m_dependencies(dependencies)
    {
    }

    /// Returns whether another instance handed the request on.
    static bool isRelayed(const HttpRequest& request);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

    /// Refuses all further requests.
    void stop() { m_isStopped = true; }
    unsigned activeRequests() const { return *m_activeRequests; }

private:
    std::string refusalReason(const HttpRequest& request) const;

    RequestDependencies m_dependencies;
    bool m_isStopped = false;
    std::shared_ptr<unsigned> m_activeRequests = std::make_shared<unsigned>(0);
};

} // namespace bulrushstack
