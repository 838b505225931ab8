#include "stream_origin_service.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Longest time for which only this instance knows of a stream, while its service has several versions.
constexpr std::chrono::milliseconds sendInterval { 50 };
constexpr std::chrono::milliseconds versionCheckInterval { 250 };
constexpr std::chrono::milliseconds sendTimeout { 300 };
constexpr std::chrono::milliseconds askTimeout { 200 };

} // namespace

StreamOriginService::StreamOriginService(FrontState& state, HttpClient& client, std::string ownInstance)
    : m_state(state)
    , m_client(client)
    , m_origins(state.clock())
    , m_replicator(state.clock(), std::move(ownInstance))
{
}

asio::awaitable<void> StreamOriginService::run()
{
    while (!m_isStopped) {
        const auto services = m_state.directory().servicesWithSeveralVersions();
        if (!services.empty()) {
            for (auto& it : m_replicator.takeDue(services))
                spawnLogged(m_state.context(), send(std::move(it)), "stream-origins");
        }
        co_await sleepFor(m_state.context(), services.empty() ? versionCheckInterval : sendInterval);
    }
}

void StreamOriginService::setPeers(std::vector<Peer> peers)
{
    if (peers == m_peers)
        return;
    LOG(INFO) << "event=peers count=" << peers.size();
    m_replicator.setPeers(peers);
    m_peers = std::move(peers);
}

void StreamOriginService::recordOrigin(StreamOrigin origin)
{
    m_replicator.add(origin);
    m_origins.record(std::move(origin));
}

asio::awaitable<void> StreamOriginService::send(OriginBatch batch)
{
    HttpRequest request { .method = "POST", .target = std::string(rememberOriginsPath), .body = encode(batch.origins) };
    auto response = co_await m_client.call(
        batch.peer.address, std::move(request), { .deadline = m_state.clock().now() + sendTimeout });
    if (response && response->status == 200)
        co_return;
    LOG(INFO) << "event=stream-origins-not-sent peer=" << batch.peer.instance << " streams=" << batch.origins.size()
              << " error=\"" << (response ? std::to_string(response->status) : response.error().detail) << "\"";
    // The connection may have stopped responding while a new one works.
    m_client.closeIdleConnections(batch.peer.address);
    m_replicator.recordFailure(batch);
}

OriginReply StreamOriginService::knownOrigin(const OriginRequest& request) const
{
    OriginReply out { .isVersionAmbiguous
        = m_state.directory().servicesWithSeveralVersions().count(request.service) > 0 };
    out.origin = m_origins.find(request.request);
    return out;
}

asio::awaitable<OriginLookup> StreamOriginService::findOrigin(OriginRequest request, SteadyTime deadline)
{
    OriginLookup out { .reply = knownOrigin(request) };
    for (const auto& it : m_replicator.peersToAsk(request.request)) {
        if (out.reply.origin)
            break;
        const auto reply = co_await ask(it.address, request, std::min(deadline, m_state.clock().now() + askTimeout));
        if (!reply)
            continue;
        out.isPeerReached = true;
        out.reply.origin = reply->origin;
        out.reply.isVersionAmbiguous = out.reply.isVersionAmbiguous || reply->isVersionAmbiguous;
    }
    co_return out;
}

asio::awaitable<Result<OriginReply>> StreamOriginService::ask(
    Address address, OriginRequest request, SteadyTime deadline)
{
    HttpRequest httpRequest { .method = "POST", .target = std::string(findOriginPath), .body = encode(request) };
    auto response = co_await m_client.call(address, std::move(httpRequest), { .deadline = deadline });
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return unavailableFailure("the instance responded with status " + std::to_string(response->status));
    auto reply = decodeOriginReply(response->body);
    if (reply && reply->origin && reply->origin->request != request.request)
        co_return unavailableFailure("the response belongs to another request");
    co_return reply;
}

HttpResponse StreamOriginService::respond(const HttpRequest& request)
{
    if (request.path() == findOriginPath) {
        const auto originRequest = decodeOriginRequest(request.body);
        return originRequest ? jsonResponse(200, encode(knownOrigin(*originRequest)))
                             : jsonErrorResponse(400, originRequest.error().detail);
    }
    if (request.path() != rememberOriginsPath)
        return jsonErrorResponse(404, "unknown path");
    auto origins = decodeStreamOrigins(request.body);
    if (!origins)
        return jsonErrorResponse(400, origins.error().detail);
    for (auto& it : *origins)
        m_origins.record(std::move(it));
    return jsonResponse(200, "{}");
}

asio::awaitable<void> StreamOriginService::handle(HttpExchange& exchange)
{
    auto response = respond(exchange.request());
    co_await exchange.respond(std::move(response));
}

} // namespace bulrushstack
