#include "bulrushstack/net/http_server.h"

#include "bulrushstack/kernel/clock.h"
#include "http_beast.h"
#include "request_reader.h"
#include "server_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <set>

namespace bulrushstack {

using namespace detail;
using asio::ip::tcp;

namespace {

/// Maximum number of connections above the limit that stay open until their clients have read the response; further
/// ones are closed at once after it, since each takes a file descriptor.
constexpr std::size_t refusalLimit = 64;

/// Time in which a request that is being read when the server begins to drain must be complete.
constexpr std::chrono::seconds drainReadTime { 1 };

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(asio::io_context& context, HttpServerOptions serverOptions, HttpHandler& requestHandler)
        : options(std::move(serverOptions))
        , handler(requestHandler)
        , acceptor(context)
        , drained(context)
    {
    }

    asio::awaitable<void> acceptLoop();
    void startServing(tcp::socket socket);
    void acceptPendingAndClose();
    asio::awaitable<void> refuseConnection(tcp::socket socket);
    asio::awaitable<void> serve(std::shared_ptr<ServerConnection> connection);
    asio::awaitable<beast::error_code> awaitRequest(ServerConnection& connection);
    asio::awaitable<bool> serveRequest(ServerConnection& connection);
    asio::awaitable<bool> readAndHandle(ServerConnection& connection);
    void beginReading(ServerConnection& connection);
    void endIdleConnections();
    asio::awaitable<void> sendProtocolError(
        ServerConnection& connection, unsigned status, std::string detail, bool mayLinger = true);
    void reportUnanswered(const UnansweredRequest& request);
    void onRequestFinished();

    HttpServerOptions options;
    HttpHandler& handler;
    tcp::acceptor acceptor;
    asio::steady_timer drained; ///< wakes drain(): cancelled when no request is in progress
    std::set<std::shared_ptr<ServerConnection>> connections;
    std::uint64_t lastNumber = 0; ///< number of the connection that was accepted last
    std::size_t openRefusals = 0; ///< connections above the limit that are still open
    std::size_t activeRequests = 0;
    bool isDraining = false;
    bool isDrained = false;
    bool isStopped = false; ///< whether the server, and perhaps the handler, no longer exists
    bool isKeepAliveDisabled = false; ///< whether responses carry "Connection: close"
};

namespace {

unsigned statusOfReadError(const beast::error_code& ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return 431;
    if (ec == http::error::body_limit)
        return 413;
    if (ec == asio::error::no_memory)
        return 503;
    if (ec == beast::error::timeout)
        return 408;
    return 400;
}

ReceivedRequest releaseRequest(RequestParser& parser)
{
    auto message = parser.release();
    ReceivedRequest out { .version = message.version(), .isKeptAlive = message.keep_alive() };
    out.request.method = std::string(message.method_string());
    out.request.target = std::string(message.target());
    out.request.headers = copyFields(message);
    out.request.body = std::move(message.body());
    return out;
}

void logFailure(const ServerConnection& connection, const std::exception& error)
{
    LOG(ERROR) << "event=connection-failed client=" << connection.clientAddress() << " error=\"" << error.what()
               << "\"";
}

bool isConnectionLoss(const beast::error_code& ec)
{
    return ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof
        || ec == asio::error::connection_reset || ec == asio::error::operation_aborted;
}

/// Returns why a request whose reading ended with this error stays without a response.
UnansweredReason reasonOf(const beast::error_code& ec, const ServerConnection& connection)
{
    if (connection.memory.isClosed())
        return UnansweredReason::ClientStalled;
    if (ec == asio::error::operation_aborted)
        return UnansweredReason::Draining;
    if (ec == asio::error::connection_reset)
        return UnansweredReason::ClientReset;
    return UnansweredReason::ClientClosed;
}

} // namespace

HttpResponse HttpHandler::protocolError(unsigned status, std::string_view detail)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", "text/plain");
    response.body = std::string(detail) + "\n";
    return response;
}

void HttpHandler::onUnanswered(const UnansweredRequest& request) { LOG(INFO) << "event=unanswered " << request; }

asio::awaitable<void> HttpServer::State::acceptLoop()
{
    static constexpr std::chrono::milliseconds acceptBackoff { 20 };
    while (acceptor.is_open()) {
        auto [ec, socket] = co_await acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted)
            break;
        if (ec) {
            // The usual cause is the limit on file descriptors. The delay keeps the loop from spinning until one is
            // free.
            LOG(WARNING) << "event=accept-failed address=" << options.address.toString() << " error=\"" << ec.message()
                         << "\"";
            asio::steady_timer pause(acceptor.get_executor(), acceptBackoff);
            co_await pause.async_wait(asTuple);
            continue;
        }
        startServing(std::move(socket));
    }
}

void HttpServer::State::startServing(tcp::socket socket)
{
    if (connections.size() >= options.connectionLimit) {
        asio::co_spawn(acceptor.get_executor(), refuseConnection(std::move(socket)), asio::detached);
        return;
    }
    beast::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    auto connection = std::make_shared<ServerConnection>(std::move(socket), ++lastNumber, options.buffers);
    connections.insert(connection);
    asio::co_spawn(acceptor.get_executor(), serve(std::move(connection)), asio::detached);
}

/// Accepts the connections that the kernel has already established, and closes the acceptor. Without this, their
/// clients would see a reset.
void HttpServer::State::acceptPendingAndClose()
{
    beast::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
        auto socket = acceptor.accept(ec);
        if (!ec)
            startServing(std::move(socket));
    }
    acceptor.close(ec);
}

asio::awaitable<void> HttpServer::State::refuseConnection(tcp::socket socket)
{
    auto self = shared_from_this();
    ServerConnection connection(std::move(socket), ++lastNumber, nullptr);
    const bool mayLinger = openRefusals < refusalLimit;
    openRefusals += mayLinger ? 1 : 0;
    try {
        co_await sendProtocolError(connection, 503, "too many connections", mayLinger);
    } catch (const std::exception& error) {
        logFailure(connection, error);
    }
    openRefusals -= mayLinger ? 1 : 0;
}

asio::awaitable<void> HttpServer::State::serve(std::shared_ptr<ServerConnection> connection)
{
    auto self = shared_from_this();
    const auto hasArrived = [&] { return connection->buffer.size() > 0 || hasInput(connection->stream.socket()); };
    for (bool isKeptAlive = true; isKeptAlive && (!isDraining || hasArrived());) {
        isKeptAlive = co_await serveRequest(*connection);
        if (connection->buffer.size() == 0 && connection->buffer.capacity() > headerReadSize)
            connection->buffer.shrink_to_fit();
        if (!connection->memory.isClosed())
            connection->memory.hold(connection->buffer.capacity());
    }
    beast::error_code ec;
    if (!connection->isResetOnClose)
        connection->stream.socket().shutdown(tcp::socket::shutdown_both, ec);
    connection->stream.close();
    connections.erase(connection);
}

/// Reads the first bytes of the next request. Returns an error if the connection ends before.
asio::awaitable<beast::error_code> HttpServer::State::awaitRequest(ServerConnection& connection)
{
    const auto idleSince = SocketDeadline::Timer::clock_type::now();
    for (auto timeout = options.idleTimeout;; timeout = options.idleTimeout) {
        connection.deadline.expiresAt(idleSince + timeout);
        connection.deadline.begin(SocketDeadline::Direction::Read);
        auto [readError, n]
            = co_await connection.stream.async_read_some(connection.buffer.prepare(headerReadSize), asTuple);
        const auto ec = connection.deadline.end(readError);
        if (!ec) {
            connection.buffer.commit(n);
            connection.recordReceived(n);
            co_return ec;
        }
        // Clients know of a longer idle timeout as soon as the connection does.
        const bool isTimeoutRaised = ec == beast::error::timeout && options.idleTimeout > timeout;
        // The first bytes may have arrived after the read was cancelled, while other handlers ran.
        const bool hasArrived = hasInput(connection.stream.socket());
        if (!isTimeoutRaised && !hasArrived)
            co_return ec;
    }
}

/// Serves the next request of a connection. Returns whether the connection can be used for another one.
asio::awaitable<bool> HttpServer::State::serveRequest(ServerConnection& connection)
{
    connection.beginRequest();
    bool isActive = false;
    const auto setActive = [&] {
        activeRequests += isActive ? 0 : 1;
        isActive = true;
    };
    if (isDraining)
        setActive(); // The request has arrived, and the drain must wait until it is read.
    bool isReusable = false;
    try {
        beast::error_code ec;
        if (connection.buffer.size() == 0)
            ec = co_await awaitRequest(connection);
        if (!ec) {
            setActive();
            isReusable = co_await readAndHandle(connection);
        }
    } catch (const std::exception& error) {
        logFailure(connection, error);
        reportUnanswered(connection.unanswered(UnansweredReason::HandlerFailed));
    }
    if (isActive)
        onRequestFinished();
    co_return isReusable;
}

void HttpServer::State::beginReading(ServerConnection& connection)
{
    connection.phase = ConnectionPhase::Header;
    connection.memory.beginTransfer();
    connection.deadline.expiresAfter(
        isDraining ? std::min<std::chrono::nanoseconds>(drainReadTime, options.readTimeout) : options.readTimeout);
}

/// Reads the rest of a request and has it handled. Returns whether the connection can be used for another one.
asio::awaitable<bool> HttpServer::State::readAndHandle(ServerConnection& connection)
{
    beginReading(connection);
    RequestReader reader(connection, options);
    auto ec = co_await reader.readHeader();
    if (!reader.syntaxError().empty()) {
        co_await sendProtocolError(connection, 400, std::string(reader.syntaxError()));
        co_return false;
    }
    if (!ec) {
        if (const unsigned status = reader.framingErrorStatus()) {
            co_await sendProtocolError(connection, status, "ambiguous framing or unsupported transfer coding");
            co_return false;
        }
        connection.phase = ConnectionPhase::Body;
        ec = co_await reader.readBody();
    }
    connection.memory.endTransfer();
    if (connection.memory.isClosed())
        ec = asio::error::operation_aborted;
    if (ec == asio::error::no_memory && connection.buffers)
        connection.buffers->logRefusal("refused", connection.clientAddress(), connection.memory.size());
    if (ec && isConnectionLoss(ec)) {
        reportUnanswered(connection.unanswered(reasonOf(ec, connection), copyFields(reader.parser().get())));
        co_return false;
    }
    if (ec) {
        // What was read of the request is not needed for the response.
        reader.parser().release();
        connection.buffer.clear();
        connection.buffer.shrink_to_fit();
        connection.memory.hold(0);
        const bool isCutShort = isDraining && ec == beast::error::timeout;
        co_await sendProtocolError(connection, isCutShort ? 503 : statusOfReadError(ec), ec.message());
        co_return false;
    }

    ServerExchange exchange(connection, options, isKeepAliveDisabled, releaseRequest(reader.parser()));

    connection.phase = ConnectionPhase::Response;
    bool hasFailed = false;
    try {
        co_await handler.handle(exchange);
    } catch (const std::exception& error) {
        hasFailed = true;
        LOG(ERROR) << "event=handler-failed target=" << exchange.request().path() << " error=\"" << error.what()
                   << "\"";
    }
    if (!exchange.isStarted()) {
        auto response = handler.protocolError(500, "internal error");
        co_await exchange.respond(std::move(response));
    }
    if (!exchange.isComplete()) {
        const auto reason = hasFailed ? UnansweredReason::HandlerFailed : exchange.incompleteReason();
        reportUnanswered(connection.unanswered(reason, exchange.request().headers));
    }
    co_return exchange.isReusable();
}

/// Sends an error response and closes the connection.
/// @param mayLinger  whether to wait until the client has read the response; without it, unread input may destroy it
asio::awaitable<void> HttpServer::State::sendProtocolError(
    ServerConnection& connection, unsigned status, std::string detail, bool mayLinger)
{
    if (isStopped)
        co_return;
    connection.phase = ConnectionPhase::Response;
    ServerExchange exchange(connection, options, isKeepAliveDisabled, ReceivedRequest());
    auto response = handler.protocolError(status, detail);
    if (status == 503 && !response.headers.find("Retry-After"))
        response.headers.set("Retry-After", "1");
    auto ec = co_await exchange.respond(std::move(response));
    if (ec)
        reportUnanswered(connection.unanswered(exchange.incompleteReason()));
    else if (mayLinger)
        co_await lingeringClose(connection.stream);
    else
        closeAfterInput(connection.stream);
}

/// Ends the connections on which no request has arrived. One that is being read gets a little time to arrive whole.
void HttpServer::State::endIdleConnections()
{
    const auto readEnd = SocketDeadline::Timer::clock_type::now() + drainReadTime;
    for (const auto& it : connections) {
        if (it->phase == ConnectionPhase::Header || it->phase == ConnectionPhase::Body)
            it->deadline.expiresBy(readEnd);
        else if (it->phase == ConnectionPhase::Idle && !it->deadline.canGoOn())
            it->stream.cancel();
    }
}

void HttpServer::State::reportUnanswered(const UnansweredRequest& request)
{
    if (isStopped)
        return;
    try {
        handler.onUnanswered(request);
    } catch (const std::exception& error) {
        LOG(ERROR) << "event=report-failed error=\"" << error.what() << "\"";
    }
}

void HttpServer::State::onRequestFinished()
{
    if (--activeRequests == 0)
        drained.cancel();
}

HttpServer::HttpServer(asio::io_context& context, HttpServerOptions options, HttpHandler& handler)
    : m_state(std::make_shared<State>(context, std::move(options), handler))
{
}

HttpServer::~HttpServer()
{
    m_state->isStopped = true;
    beast::error_code ec;
    m_state->acceptor.close(ec);
    for (const auto& it : m_state->connections)
        it->stream.close();
}

std::error_code HttpServer::start()
{
    beast::error_code ec;
    auto& acceptor = m_state->acceptor;
    const auto host = asio::ip::make_address(m_state->options.address.host, ec);
    const tcp::endpoint endpoint(host, m_state->options.address.port);
    if (!ec)
        acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        asio::co_spawn(acceptor.get_executor(), m_state->acceptLoop(), asio::detached);
    return ec;
}

std::uint16_t HttpServer::port() const
{
    beast::error_code ec;
    return m_state->acceptor.local_endpoint(ec).port();
}

std::size_t HttpServer::activeRequests() const { return m_state->activeRequests; }

bool HttpServer::isDrained() const { return m_state->isDrained; }

void HttpServer::disableKeepAlive() { m_state->isKeepAliveDisabled = true; }

void HttpServer::setLimits(const HttpServerOptions& limits)
{
    auto address = m_state->options.address;
    auto buffers = m_state->options.buffers;
    m_state->options = limits;
    m_state->options.address = std::move(address);
    m_state->options.buffers = std::move(buffers);
}

asio::awaitable<void> HttpServer::drain()
{
    // Time in which requests that have already arrived are read, from new and from open connections.
    static constexpr std::chrono::milliseconds settleTime { 5 };
    auto state = m_state;
    state->isKeepAliveDisabled = true;
    asio::steady_timer settled(state->acceptor.get_executor(), settleTime);
    state->acceptPendingAndClose();
    co_await settled.async_wait(asTuple);
    state->isDraining = true;
    state->endIdleConnections();
    settled.expires_after(settleTime);
    co_await settled.async_wait(asTuple);
    // Lets the reads that have completed by now run first.
    co_await asio::post(state->acceptor.get_executor(), asio::use_awaitable);
    while (state->activeRequests > 0) {
        state->drained.expires_at(SteadyTime::max());
        co_await state->drained.async_wait(asTuple);
    }
    state->isDrained = true;
}

} // namespace bulrushstack
