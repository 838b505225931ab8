#include "bulrushstack/net/peer_mesh.h"

#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "peer_envelope.h"

#include <algorithm>
#include <glog/logging.h>
#include <map>
#include <set>

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

constexpr std::string_view messageTarget = "/peer/v1/messages";
constexpr std::string_view messageType = "application/cbor";

/// A connection that was closed by the peer, or a raised incarnation, is worth one more attempt.
constexpr int maxAttempts = 2;

/// Shorter than the server's idle timeout, so that a connection is rarely closed just when it is used again.
constexpr std::chrono::seconds maxIdleTime { 30 };
constexpr std::chrono::seconds keepAliveTimeout { 3 };

/// A peer that does not read its reply delays a shutdown for at most this long.
constexpr std::chrono::seconds replyWriteTimeout { 1 };

constexpr std::size_t connectionLimit = 512;

constexpr std::string_view staleIncarnation = "stale incarnation";

HttpServerOptions serverOptions(const PeerMeshOptions& options)
{
    HttpServerOptions out;
    out.address = options.address;
    out.bodyLimit = options.messageLimit;
    out.connectionLimit = connectionLimit;
    out.writeTimeout = replyWriteTimeout;
    return out;
}

HttpResponse messageResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", std::string(messageType));
    response.body = std::move(body);
    return response;
}

Failure peerFailure(Errc code, const Address& peer, std::string_view detail)
{
    return {
        .code = code, .verdict = Verdict::MayHaveRun, .detail = "peer " + peer.toString() + ": " + std::string(detail)
    };
}

} // namespace

struct PeerMesh::State final : HttpHandler {
    State(asio::io_context& context, const Clock& meshClock, PeerMeshOptions meshOptions)
        : clock(meshClock)
        , options(std::move(meshOptions))
        , incarnation(options.incarnation)
        , client(context, clock)
        , server(std::make_unique<HttpServer>(context, serverOptions(options), *this))
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse handleMessage(std::string_view data);
    nlohmann::json callHandler(const PeerEnvelope& request);
    HttpResponse signReply(unsigned status, const PeerEnvelope& request, nlohmann::json body);
    PeerEnvelope newEnvelope(nlohmann::json body);
    asio::awaitable<Result<PeerEnvelope>> exchange(
        const Address& peer, const nlohmann::json& message, const HttpCallOptions& callOptions);
    Result<PeerEnvelope> readReply(const Address& peer, const HttpResponse& response, const std::string& tag);
    bool raiseIncarnationAfter(const PeerEnvelope& reply);
    void countRejection(const std::error_code& code);
    void cancelRequests();

    const Clock& clock;
    PeerMeshOptions options;
    std::uint64_t incarnation;
    std::map<std::string, Handler> handlers;
    HttpClient client;
    std::unique_ptr<HttpServer> server;
    std::set<std::shared_ptr<HttpCancellation>> pendingRequests;
    ReplayGuard replayGuard;
    PeerMeshCounters counters;
    std::uint64_t sequence = 0;
    bool isStopped = false;
};

asio::awaitable<void> PeerMesh::State::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.method != "POST" || request.target != messageTarget) {
        co_await exchange.respond(messageResponse(404, {}));
        co_return;
    }
    co_await exchange.respond(handleMessage(request.body));
}

HttpResponse PeerMesh::State::handleMessage(std::string_view data)
{
    ++counters.requestsReceived;
    counters.bytesReceived += data.size();
    auto request = decodeSignedEnvelope(data, options.keys, options.messageLimit);
    if (!request) {
        countRejection(request.error().code);
        return messageResponse(request.error().code == Errc::Unauthenticated ? 401 : 400, {});
    }
    if (request->to != options.address.toString()) {
        ++counters.rejectedReplayed;
        return messageResponse(409, {});
    }
    const auto known = replayGuard.incarnationOf(request->from);
    if (request->incarnation < known) {
        ++counters.rejectedReplayed;
        return signReply(409, *request, { { "error", staleIncarnation }, { "known", known } });
    }
    if (!replayGuard.accept(request->from, request->incarnation, request->sequence)) {
        ++counters.rejectedReplayed;
        return messageResponse(409, {});
    }
    return signReply(200, *request, callHandler(*request));
}

nlohmann::json PeerMesh::State::callHandler(const PeerEnvelope& request)
{
    auto body = request.body;
    body["from"] = request.from;
    body["incarnation"] = request.incarnation;
    try {
        auto it = handlers.find(body.value("type", std::string()));
        if (it != handlers.end())
            return it->second(body);
    } catch (const nlohmann::json::exception&) {
        ++counters.rejectedMalformed;
        return { { "error", "malformed request" } };
    }
    return { { "error", "unknown type" } };
}

HttpResponse PeerMesh::State::signReply(unsigned status, const PeerEnvelope& request, nlohmann::json body)
{
    auto reply = newEnvelope(std::move(body));
    reply.tag = request.tag;
    auto signedMessage = encodeSignedEnvelope(reply, options.keys.front());
    counters.bytesSent += signedMessage.size();
    return messageResponse(status, std::move(signedMessage));
}

PeerEnvelope PeerMesh::State::newEnvelope(nlohmann::json body)
{
    PeerEnvelope envelope;
    envelope.from = options.instanceId;
    envelope.incarnation = incarnation;
    envelope.sequence = ++sequence;
    envelope.body = std::move(body);
    return envelope;
}

void PeerMesh::State::countRejection(const std::error_code& code)
{
    if (code == Errc::Unauthenticated)
        ++counters.rejectedUnauthenticated;
    else
        ++counters.rejectedMalformed;
}

/// Sends the message once, under a new sequence number, and returns the authenticated reply.
asio::awaitable<Result<PeerEnvelope>> PeerMesh::State::exchange(
    const Address& peer, const nlohmann::json& message, const HttpCallOptions& callOptions)
{
    auto envelope = newEnvelope(message);
    envelope.to = peer.toString();
    envelope.tag = randomId();
    HttpRequest request;
    request.method = "POST";
    request.target = messageTarget;
    request.headers.set("Content-Type", std::string(messageType));
    request.body = encodeSignedEnvelope(envelope, options.keys.front());
    ++counters.requestsSent;
    counters.bytesSent += request.body.size();
    auto response = co_await client.call(peer, std::move(request), callOptions);
    if (!response)
        co_return response.error();
    counters.bytesReceived += response->body.size();
    co_return readReply(peer, *response, envelope.tag);
}

Result<PeerEnvelope> PeerMesh::State::readReply(
    const Address& peer, const HttpResponse& response, const std::string& tag)
{
    if (response.status == 401)
        return peerFailure(Errc::Unauthenticated, peer, "the peer accepts none of this instance's keys");
    auto reply = decodeSignedEnvelope(response.body, options.keys, options.messageLimit);
    if (!reply) {
        countRejection(reply.error().code);
        return peerFailure(static_cast<Errc>(reply.error().code.value()), peer, reply.error().detail);
    }
    if (reply->tag != tag) {
        countRejection(Errc::MismatchedResponse);
        return peerFailure(Errc::MismatchedResponse, peer, "the reply belongs to another request");
    }
    return reply;
}

/// Raises the incarnation if the reply says that the peer knows a higher one of this instance: that of an earlier
/// process that was started while the wall clock was ahead. Returns whether the message is to be sent again.
bool PeerMesh::State::raiseIncarnationAfter(const PeerEnvelope& reply)
{
    if (reply.body.value("error", nlohmann::json()) != staleIncarnation)
        return false;
    const auto known = reply.body.value("known", nlohmann::json());
    if (!known.is_number_unsigned() || known.get<std::uint64_t>() == std::numeric_limits<std::uint64_t>::max())
        return false;
    const auto raised = std::max(incarnation, known.get<std::uint64_t>() + 1);
    if (raised != incarnation)
        LOG(INFO) << "event=incarnation-raised instance=" << options.instanceId << " from=" << incarnation
                  << " to=" << raised << " reported_by=" << reply.from;
    incarnation = raised;
    return true;
}

void PeerMesh::State::cancelRequests()
{
    isStopped = true;
    for (const auto& it : pendingRequests)
        it->cancel();
}

PeerMesh::PeerMesh(asio::io_context& context, const Clock& clock, PeerMeshOptions options)
    : m_state(std::make_shared<State>(context, clock, std::move(options)))
{
}

PeerMesh::~PeerMesh()
{
    m_state->cancelRequests();
    m_state->server.reset();
}

void PeerMesh::handle(std::string type, Handler handler) { m_state->handlers[std::move(type)] = std::move(handler); }

std::error_code PeerMesh::start() { return m_state->server->start(); }

asio::awaitable<void> PeerMesh::stop()
{
    auto state = m_state;
    state->cancelRequests();
    co_await state->server->drain();
}

asio::awaitable<Result<nlohmann::json>> PeerMesh::request(
    Address peer, nlohmann::json message, std::chrono::nanoseconds timeout)
{
    auto state = m_state;
    auto cancellation = std::make_shared<HttpCancellation>();
    if (state->isStopped)
        cancellation->cancel();
    state->pendingRequests.insert(cancellation);
    HttpCallOptions options;
    options.deadline = state->clock.now() + std::chrono::duration_cast<SteadyTime::duration>(timeout);
    options.maxIdle = maxIdleTime;
    options.tcpKeepAliveTimeout = keepAliveTimeout;
    options.cancellation = cancellation;
    options.bodyLimit = state->options.messageLimit;
    Result<PeerEnvelope> reply = peerFailure(Errc::Unavailable, peer, "not sent");
    for (int attempt = 1; attempt <= maxAttempts; ++attempt) {
        reply = co_await state->exchange(peer, message, options);
        const bool isWorthRetrying
            = reply ? state->raiseIncarnationAfter(*reply) : reply.error().code == Errc::ConnectionClosed;
        if (!isWorthRetrying)
            break;
        options.maxIdle = {};
    }
    state->pendingRequests.erase(cancellation);
    if (!reply) {
        if (reply.error().code == Errc::Timeout)
            state->client.closeIdleConnections(peer);
        co_return reply.error();
    }
    reply->body["from"] = reply->from;
    reply->body["incarnation"] = reply->incarnation;
    co_return std::move(reply->body);
}

void PeerMesh::raiseIncarnation(std::uint64_t minimum)
{
    if (minimum <= m_state->incarnation)
        return;
    LOG(INFO) << "event=incarnation-raised instance=" << m_state->options.instanceId << " from=" << m_state->incarnation
              << " to=" << minimum;
    m_state->incarnation = minimum;
}

std::uint64_t PeerMesh::incarnation() const { return m_state->incarnation; }

PeerMeshCounters PeerMesh::counters() const { return m_state->counters; }

} // namespace bulrushstack
