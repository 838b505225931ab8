#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "front_state.h"
#include "request_dependencies.h"

#include <map>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Path of the request with which one instance tells another one which upstreams refused requests.
inline constexpr std::string_view refusalNoticesPath = "/v1/upstreams/refused";

/// Tells all instances at once when a brittle upstream refuses a request for want of room, so that not each of them
/// finds it out by a refusal of its own. Notices are lost without harm: an instance that misses one may cause another
/// refusal.
class RefusalNotices final : public RefusalObserver, public HttpHandler {
public:
    RefusalNotices(FrontState& state, HttpClient& client, const PeerSource& peers);

    /// Sends the collected notices. Runs until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() { m_isStopped = true; }

    void recordRefusal(const std::string& upstream, std::uint64_t startedAt, double refusalsPerSecond) override;
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    struct Refusal {
        std::uint64_t startedAt = 0; ///< Start time of the upstream's process, in Unix milliseconds.
        double refusalsPerSecond = 0; ///< Refusals that the upstream stands.
        unsigned refusals = 1; ///< Number of refusals since the last notice.
    };

    HttpResponse respond(const HttpRequest& request);
    void apply(const std::string& upstream, const Refusal& refusal, std::string_view source);
    std::string encodeRefusals() const;
    boost::asio::awaitable<void> send(Peer peer, std::string body);

    FrontState& m_state;
    HttpClient& m_client;
    const PeerSource& m_peers;
    std::map<std::string, Refusal> m_unsent; ///< By upstream.
    bool m_isStopped = false;
};

} // namespace bulrushstack
