#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/origin_replicator.h"
#include "front_state.h"
#include "request_dependencies.h"

#include <string>
#include <string_view>

namespace bulrushstack {

/// Paths of the requests that one instance sends to another one: to remember streams, and to look one up.
inline constexpr std::string_view rememberOriginsPath = "/v1/streams/remember";
inline constexpr std::string_view findOriginPath = "/v1/streams/find";

/// Remembers on two other instances where the streams of this one began, while their service has upstreams of several
/// software versions, and asks other instances where a stream began. Other instances reach it over HTTP, through
/// HttpHandler.
class StreamOriginService final : public StreamOriginSource, public PeerSource, public HttpHandler {
public:
    StreamOriginService(FrontState& state, HttpClient& client, std::string ownInstance);

    /// Sends what other instances are to remember. Runs until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() { m_isStopped = true; }

    /// Replaces the instances that remember streams.
    void setPeers(std::vector<Peer> peers);
    const std::vector<Peer>& peers() const override { return m_peers; }

    void recordOrigin(StreamOrigin origin) override;
    boost::asio::awaitable<OriginLookup> findOrigin(OriginRequest request, SteadyTime deadline) override;
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    OriginReply knownOrigin(const OriginRequest& request) const;
    boost::asio::awaitable<void> send(OriginBatch batch);
    boost::asio::awaitable<Result<OriginReply>> ask(Address address, OriginRequest request, SteadyTime deadline);
    HttpResponse respond(const HttpRequest& request);

    FrontState& m_state;
    HttpClient& m_client;
    StreamOrigins m_origins;
    OriginReplicator m_replicator;
    std::vector<Peer> m_peers;
    bool m_isStopped = false;
};

} // namespace bulrushstack
