#include "bulrushstack/net/peer_mesh.h"

#include "bulrushstack/kernel/ids.h"
#include "peer_envelope.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

std::string urlOf(const Address& address) { return "tcp://" + address.toString(); }

std::error_code toErrorCode(int status)
{
    switch (status) {
    case 0:
        return {};
    case NNG_ETIMEDOUT:
        return Errc::Timeout;
    case NNG_ECLOSED:
    case NNG_ECANCELED:
        return Errc::Cancelled;
    case NNG_EADDRINUSE:
        return std::make_error_code(std::errc::address_in_use);
    default:
        return Errc::Unavailable;
    }
}

nng_msg* newMessage(std::string_view data)
{
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0 || nng_msg_append(message, data.data(), data.size()) != 0)
        throw std::bad_alloc();
    return message;
}

std::string_view contents(nng_msg* message)
{
    return { static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message) };
}

/// An asynchronous nng operation (nng_aio) whose completion handler runs on the io_context.
class AioOperation {
public:
    AioOperation(asio::io_context& context, std::function<void()> completion)
        : m_context(context)
        , m_completion(std::move(completion))
    {
        if (nng_aio_alloc(&m_aio, &AioOperation::onDone, this) != 0)
            throw std::bad_alloc();
    }

    ~AioOperation()
    {
        // An aborted send or a reply that was not consumed leaves its message in the nng_aio, which does not free it.
        nng_aio_stop(m_aio);
        if (nng_msg* message = takeMessage())
            nng_msg_free(message);
        nng_aio_free(m_aio);
    }

    AioOperation(const AioOperation&) = delete;
    AioOperation& operator=(const AioOperation&) = delete;

    nng_aio* aio() { return m_aio; }

    /// Returns the message held by the operation and passes its ownership to the caller; null if there is none.
    nng_msg* takeMessage()
    {
        nng_msg* message = nng_aio_get_msg(m_aio);
        nng_aio_set_msg(m_aio, nullptr);
        return message;
    }

private:
    // Called by nng on one of its own threads.
    static void onDone(void* argument)
    {
        auto* self = static_cast<AioOperation*>(argument);
        asio::post(self->m_context, self->m_completion);
    }

    asio::io_context& m_context;
    std::function<void()> m_completion;
    nng_aio* m_aio = nullptr;
};

/// A request that was sent and waits for its reply.
struct PendingRequest {
    explicit PendingRequest(asio::io_context& context)
        : completionTimer(context, asio::steady_timer::time_point::max())
    {
    }

    ~PendingRequest() { nng_ctx_close(context); }

    asio::steady_timer completionTimer; ///< cancelled to wake the waiting coroutine when the request is done
    nng_ctx context = NNG_CTX_INITIALIZER;
    std::unique_ptr<AioOperation> operation;
    bool isSent = false;
    bool isDone = false;
    int status = 0;
    std::string reply;
};

} // namespace

struct PeerMesh::State : std::enable_shared_from_this<PeerMesh::State> {
    /// An nng context that receives requests and sends their replies, one at a time.
    struct Responder {
        nng_ctx context = NNG_CTX_INITIALIZER;
        std::unique_ptr<AioOperation> operation;
        bool isSending = false; ///< whether the operation sends a reply; otherwise it receives a request
    };

    State(asio::io_context& ioContext, PeerMeshOptions meshOptions)
        : context(ioContext)
        , options(std::move(meshOptions))
    {
    }

    std::error_code listen();
    void receiveNext(Responder& responder);
    void onResponderDone(Responder& responder);
    nng_msg* handleRequest(std::string_view data);
    nng_socket* socketFor(const Address& peer);
    void onRequestDone(const std::shared_ptr<PendingRequest>& pending);
    PeerEnvelope newEnvelope(nlohmann::json body);
    void countRejection(const std::error_code& code);

    asio::io_context& context;
    PeerMeshOptions options;
    std::map<std::string, Handler> handlers;
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    std::vector<std::unique_ptr<Responder>> responders;
    std::map<Address, nng_socket> sockets;
    ReplayGuard replayGuard;
    PeerMeshCounters counters;
    std::uint64_t sequence = 0;
    bool isStopped = false;
};

PeerEnvelope PeerMesh::State::newEnvelope(nlohmann::json body)
{
    PeerEnvelope envelope;
    envelope.from = options.instanceId;
    envelope.incarnation = options.incarnation;
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

std::error_code PeerMesh::State::listen()
{
    static constexpr int responderCount = 8; // maximum number of requests between receipt and reply at the same time
    if (int status = nng_rep0_open(&listener); status != 0)
        return toErrorCode(status);
    nng_socket_set_size(listener, NNG_OPT_RECVMAXSZ, options.messageLimit);
    if (int status = nng_listen(listener, urlOf(options.address).c_str(), nullptr, 0); status != 0)
        return toErrorCode(status);
    for (int i = 0; i < responderCount; ++i) {
        auto responder = std::make_unique<Responder>();
        if (int status = nng_ctx_open(&responder->context, listener); status != 0)
            return toErrorCode(status);
        auto* raw = responder.get();
        responder->operation = std::make_unique<AioOperation>(context, [weak = weak_from_this(), raw] {
            auto self = weak.lock();
            if (self && !self->isStopped)
                self->onResponderDone(*raw);
        });
        receiveNext(*responder);
        responders.push_back(std::move(responder));
    }
    return {};
}

void PeerMesh::State::receiveNext(Responder& responder)
{
    responder.isSending = false;
    nng_ctx_recv(responder.context, responder.operation->aio());
}

void PeerMesh::State::onResponderDone(Responder& responder)
{
    auto* aio = responder.operation->aio();
    const int status = nng_aio_result(aio);
    if (responder.isSending) {
        if (status != 0)
            nng_msg_free(responder.operation->takeMessage());
        receiveNext(responder);
        return;
    }
    if (status != 0) {
        if (status != NNG_ECLOSED)
            receiveNext(responder);
        return;
    }
    nng_msg* request = responder.operation->takeMessage();
    nng_msg* reply = handleRequest(contents(request));
    nng_msg_free(request);
    if (!reply) {
        receiveNext(responder);
        return;
    }
    responder.isSending = true;
    nng_aio_set_msg(aio, reply);
    nng_ctx_send(responder.context, aio);
}

nng_msg* PeerMesh::State::handleRequest(std::string_view data)
{
    ++counters.requestsReceived;
    counters.bytesReceived += data.size();
    auto request = decodeSignedEnvelope(data, options.keys, options.messageLimit);
    if (!request) {
        countRejection(request.error().code);
        return nullptr;
    }
    const bool isAddressedToThisInstance = request->to == options.address.toString();
    if (!isAddressedToThisInstance || !replayGuard.accept(request->from, request->incarnation, request->sequence)) {
        ++counters.rejectedReplayed;
        return nullptr;
    }
    auto& body = request->body;
    body["from"] = request->from;
    body["incarnation"] = request->incarnation;
    nlohmann::json replyBody { { "error", "unknown type" } };
    auto it = handlers.find(body.value("type", std::string()));
    if (it != handlers.end()) {
        try {
            replyBody = it->second(body);
        } catch (const nlohmann::json::exception&) {
            ++counters.rejectedMalformed;
            replyBody = { { "error", "malformed request" } };
        }
    }
    auto reply = newEnvelope(std::move(replyBody));
    reply.tag = request->tag;
    const auto signedMessage = encodeSignedEnvelope(reply, options.keys.front());
    counters.bytesSent += signedMessage.size();
    return newMessage(signedMessage);
}

nng_socket* PeerMesh::State::socketFor(const Address& peer)
{
    auto it = sockets.find(peer);
    if (it != sockets.end())
        return &it->second;
    static constexpr nng_duration minimumReconnectDelay = 50; // ms
    static constexpr nng_duration maximumReconnectDelay = 1000; // ms
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_req0_open(&socket) != 0)
        return nullptr;
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, options.messageLimit);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, minimumReconnectDelay);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, maximumReconnectDelay);
    // Disable nng's automatic resending: the receiver rejects a repeated sequence number as a replay.
    nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    if (nng_dial(socket, urlOf(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(socket);
        return nullptr;
    }
    return &sockets.emplace(peer, socket).first->second;
}

void PeerMesh::State::onRequestDone(const std::shared_ptr<PendingRequest>& pending)
{
    auto* aio = pending->operation->aio();
    pending->status = nng_aio_result(aio);
    if (pending->status == 0 && !pending->isSent) {
        pending->isSent = true;
        nng_ctx_recv(pending->context, aio);
        return;
    }
    if (pending->status == 0) {
        nng_msg* message = pending->operation->takeMessage();
        pending->reply = std::string(contents(message));
        nng_msg_free(message);
    } else if (!pending->isSent) {
        nng_msg_free(pending->operation->takeMessage());
    }
    pending->isDone = true;
    pending->completionTimer.cancel();
}

PeerMesh::PeerMesh(asio::io_context& context, PeerMeshOptions options)
    : m_state(std::make_shared<State>(context, std::move(options)))
{
}

PeerMesh::~PeerMesh() { stop(); }

void PeerMesh::handle(std::string type, Handler handler) { m_state->handlers[std::move(type)] = std::move(handler); }

std::error_code PeerMesh::start() { return m_state->listen(); }

void PeerMesh::stop()
{
    if (std::exchange(m_state->isStopped, true))
        return;
    nng_close(m_state->listener);
    for (const auto& [peer, socket] : m_state->sockets)
        nng_close(socket);
    m_state->sockets.clear();
    m_state->responders.clear();
}

asio::awaitable<Result<nlohmann::json>> PeerMesh::request(
    Address peer, nlohmann::json message, std::chrono::nanoseconds timeout)
{
    auto state = m_state;
    auto pending = std::make_shared<PendingRequest>(state->context);
    auto* socket = state->isStopped ? nullptr : state->socketFor(peer);
    if (!socket || nng_ctx_open(&pending->context, *socket) != 0)
        co_return Failure { .code = Errc::Unavailable,
            .verdict = Verdict::NotRun,
            .detail = "cannot open a socket to peer " + peer.toString() };

    auto envelope = state->newEnvelope(std::move(message));
    envelope.to = peer.toString();
    envelope.tag = randomId();
    const auto signedMessage = encodeSignedEnvelope(envelope, state->options.keys.front());
    ++state->counters.requestsSent;
    state->counters.bytesSent += signedMessage.size();

    pending->operation = std::make_unique<AioOperation>(state->context, [state, weak = std::weak_ptr(pending)] {
        if (auto request = weak.lock())
            state->onRequestDone(request);
    });
    auto* aio = pending->operation->aio();
    nng_aio_set_timeout(aio, static_cast<nng_duration>(std::chrono::ceil<std::chrono::milliseconds>(timeout).count()));
    nng_aio_set_msg(aio, newMessage(signedMessage));
    nng_ctx_send(pending->context, aio);
    while (!pending->isDone)
        co_await pending->completionTimer.async_wait(asio::as_tuple(asio::use_awaitable));

    if (pending->status != 0)
        co_return Failure { .code = toErrorCode(pending->status),
            .verdict = Verdict::MayHaveRun,
            .detail = "peer " + peer.toString() + ": " + nng_strerror(pending->status) };
    state->counters.bytesReceived += pending->reply.size();
    auto reply = decodeSignedEnvelope(pending->reply, state->options.keys, state->options.messageLimit);
    if (!reply || reply->tag != envelope.tag) {
        const std::error_code code = reply ? std::error_code(Errc::MismatchedResponse) : reply.error().code;
        state->countRejection(code);
        co_return Failure { .code = code,
            .verdict = Verdict::MayHaveRun,
            .detail = "peer " + peer.toString() + " sent an invalid reply or one to another request" };
    }
    reply->body["from"] = reply->from;
    reply->body["incarnation"] = reply->incarnation;
    co_return std::move(reply->body);
}

void PeerMesh::disconnect(const Address& peer)
{
    auto it = m_state->sockets.find(peer);
    if (it == m_state->sockets.end())
        return;
    nng_close(it->second);
    m_state->sockets.erase(it);
}

PeerMeshCounters PeerMesh::counters() const { return m_state->counters; }

} // namespace bulrushstack
