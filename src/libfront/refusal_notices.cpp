#include "refusal_notices.h"

#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/serving/brittle_upstreams.h"
#include <cmath>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds minSendInterval { 10 };
/// Each instance sends to all others, so that the interval grows with their number.
constexpr std::chrono::milliseconds sendIntervalPerPeer { 1 };
constexpr std::chrono::milliseconds sendTimeout { 300 };

} // namespace

RefusalNotices::RefusalNotices(FrontState& state, HttpClient& client, const PeerSource& peers)
    : m_state(state)
    , m_client(client)
    , m_peers(peers)
{
}

asio::awaitable<void> RefusalNotices::run()
{
    while (!m_isStopped) {
        co_await sleepFor(
            m_state.context(), minSendInterval + sendIntervalPerPeer * static_cast<int>(m_peers.peers().size()));
        if (m_unsent.empty())
            continue;
        const auto body = encodeRefusals();
        m_unsent.clear();
        for (const auto& it : m_peers.peers()) {
            if (it.instance != m_state.instanceId())
                spawnLogged(m_state.context(), send(it, body), "refusal-notice");
        }
    }
}

std::string RefusalNotices::encodeRefusals() const
{
    auto document = nlohmann::json::array();
    for (const auto& [upstream, refusal] : m_unsent)
        document.push_back({ { "upstream", upstream }, { "startedAt", refusal.startedAt },
            { "refusalsPerSecond", refusal.refusalsPerSecond }, { "refusals", refusal.refusals } });
    return document.dump();
}

asio::awaitable<void> RefusalNotices::send(Peer peer, std::string body)
{
    HttpRequest request { .method = "POST", .target = std::string(refusalNoticesPath), .body = std::move(body) };
    const auto response
        = co_await m_client.call(peer.address, std::move(request), { .deadline = m_state.clock().now() + sendTimeout });
    if (!response)
        m_client.closeIdleConnections(peer.address);
}

void RefusalNotices::recordRefusal(const std::string& upstream, std::uint64_t startedAt, double refusalsPerSecond)
{
    Refusal refusal { .startedAt = startedAt, .refusalsPerSecond = refusalsPerSecond };
    apply(upstream, refusal, "request");
    const auto unsent = m_unsent.find(upstream);
    if (unsent != m_unsent.end() && unsent->second.startedAt == startedAt)
        refusal.refusals += unsent->second.refusals;
    m_unsent[upstream] = refusal;
}

void RefusalNotices::apply(const std::string& upstream, const Refusal& refusal, std::string_view source)
{
    m_state.recentRefusals().record(upstream, refusal.startedAt, refusal.refusals);
    const auto duration = pauseAfterRefusal(refusal.refusalsPerSecond, m_state.randomFraction());
    if (m_state.directory().recordPause(upstream, refusal.startedAt, duration))
        LOG(INFO) << "event=upstream-pause upstream=" << upstream << " source=" << source
                  << " reason=brittle refusals_per_second=" << refusal.refusalsPerSecond
                  << " pause_ms=" << duration.count();
}

HttpResponse RefusalNotices::respond(const HttpRequest& request)
{
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    if (!document.is_array())
        return jsonErrorResponse(400, "the body is not a list");
    try {
        for (const auto& it : document) {
            // Instances of an earlier version do not send the number of refusals.
            const Refusal refusal { .startedAt = it.at("startedAt").get<std::uint64_t>(),
                .refusalsPerSecond = it.at("refusalsPerSecond").get<double>(),
                .refusals = it.value("refusals", 1U) };
            apply(it.at("upstream").get<std::string>(), refusal, "instance");
        }
    } catch (const nlohmann::json::exception& error) {
        return jsonErrorResponse(400, error.what());
    }
    return jsonResponse(200, "{}");
}

asio::awaitable<void> RefusalNotices::handle(HttpExchange& exchange)
{
    auto response = respond(exchange.request());
    co_await exchange.respond(std::move(response));
}

} // namespace bulrushstack
