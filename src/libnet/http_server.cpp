#include "bulrushstack/net/http_server.h"

#include "bulrushstack/kernel/clock.h"
#include "http_beast.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <set>

namespace bulrushstack {

using namespace detail;
using asio::ip::tcp;

namespace {

/// Maximum number of connections above the limit that are told so at one time; further ones are closed at once, since
/// each takes a file descriptor until its client has read the response.
constexpr std::size_t refusalLimit = 64;
constexpr std::size_t readSize = 4096; // maximum number of bytes that one read of a request header returns
/// The same for a body. Smaller steps cost a small machine many system calls for the long prompts of a burst.
constexpr std::size_t bodyReadSize = 16 * 1024;

/// Estimated memory in bytes of a header field beside its text, in Beast's message and in the copy for the handler.
constexpr std::size_t fieldOverhead = 192;
/// A body whose size is not known yet starts with at most this capacity, in bytes.
constexpr std::size_t initialBodyCapacity = readSize;

struct Connection : std::enable_shared_from_this<Connection> {
    Connection(tcp::socket socket, std::shared_ptr<ClientBuffers> clientBuffers)
        : stream(std::move(socket))
        , buffers(std::move(clientBuffers))
        , memory(buffers, [this](std::size_t held) { closeAsStalled(held); })
    {
    }

    std::string clientAddress() const
    {
        beast::error_code ec;
        const auto endpoint = stream.socket().remote_endpoint(ec);
        return ec ? "unknown" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    void closeAsStalled(std::size_t held)
    {
        buffers->logRefusal("closed", clientAddress(), held);
        stream.close();
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::shared_ptr<ClientBuffers> buffers;
    ClientBuffer memory; ///< memory of the buffer, the request, and a response that is not sent yet
    bool isBusy = false; ///< whether a request is being handled
    bool isResetOnClose = false; ///< whether it must end with a TCP reset, because its response is not complete
    std::uint64_t requestNumber = 0; ///< lets watchForDisconnect() detect that its request has ended
};

/// Calls the function when the client closes the connection, unless the connection has moved on to another request.
void watchForDisconnect(
    std::shared_ptr<Connection> connection, std::uint64_t requestNumber, std::function<void()> callback)
{
    auto& socket = connection->stream.socket();
    socket.async_wait(tcp::socket::wait_read,
        [connection = std::move(connection), requestNumber, callback = std::move(callback)](beast::error_code ec) {
            if (ec || connection->requestNumber != requestNumber || !isPeerClosed(connection->stream.socket()))
                return;
            callback();
        });
}

/// Returns an error message if the header section has syntax that lenient parsers accept: folded lines or bare line
/// feeds. Returns an empty string if it has none. HTTP implementations interpret these differently, which permits
/// request smuggling.
std::string_view findHeaderSyntaxError(std::string_view header)
{
    for (std::size_t i = header.find('\n'); i != std::string_view::npos; i = header.find('\n', i + 1)) {
        if (i == 0 || header[i - 1] != '\r')
            return "a header line ends with a bare line feed";
        if (i + 1 < header.size() && (header[i + 1] == ' ' || header[i + 1] == '\t'))
            return "folded header lines are not supported";
    }
    return {};
}

/// Checks Transfer-Encoding and Content-Length of a request. Returns 0 if the framing is accepted, 400 if it is
/// ambiguous, and 501 for a transfer coding other than "chunked".
unsigned framingErrorStatus(const http::fields& fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    if (codings == 0)
        return 0;
    if (codings > 1 || fields.count(http::field::content_length) > 0)
        return 400;
    return beast::iequals(fields[http::field::transfer_encoding], "chunked") ? 0 : 501;
}

using RequestParser = http::request_parser<ReceivedBody>;

/// Returns the memory in bytes of the header fields.
std::size_t memoryOf(const http::fields& fields)
{
    std::size_t out = 0;
    for (const auto& it : fields)
        out += 2 * (it.name_string().size() + it.value().size()) + fieldOverhead;
    return out;
}

/// Returns the capacity to which a body must grow for a size. Capacities double, and the last one is the maximum size,
/// so that a body of that size takes no more.
std::size_t bodyCapacity(std::size_t size, std::size_t maxSize)
{
    std::size_t out = maxSize;
    while (out / 2 >= size && out > initialBodyCapacity)
        out -= out / 2;
    return out;
}

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
    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    asio::awaitable<bool> serveRequest(Connection& connection);
    asio::awaitable<beast::error_code> readHeaderSection(Connection& connection, std::string_view& syntaxError);
    asio::awaitable<beast::error_code> readBody(Connection& connection, RequestParser& parser);
    asio::awaitable<void> sendProtocolError(Connection& connection, unsigned status, std::string detail);
    void onRequestFinished();

    HttpServerOptions options;
    HttpHandler& handler;
    tcp::acceptor acceptor;
    asio::steady_timer drained; ///< wakes drain(): cancelled when no request is in progress
    std::set<std::shared_ptr<Connection>> connections;
    std::size_t openRefusals = 0; ///< connections above the limit that are still open
    std::size_t activeRequests = 0;
    bool isDraining = false;
    bool isKeepAliveDisabled = false; ///< whether responses carry "Connection: close"
};

namespace {

class Exchange final : public HttpExchange {
public:
    Exchange(Connection& connection, const HttpServerOptions& options, const bool& isKeepAliveDisabled,
        HttpRequest request, unsigned version, bool isKeptAlive)
        : m_connection(connection)
        , m_options(options)
        , m_isKeepAliveDisabled(isKeepAliveDisabled)
        , m_request(std::move(request))
        , m_version(version)
        , m_isKeptAlive(isKeptAlive)
    {
    }

    const HttpRequest& request() const override { return m_request; }
    bool isStarted() const override { return m_isStarted; }
    bool isClientGone() override { return isPeerClosed(m_connection.stream.socket()); }

    void onClientGone(std::function<void()> callback) override
    {
        if (m_connection.buffer.size() == 0)
            watchForDisconnect(m_connection.shared_from_this(), m_connection.requestNumber, std::move(callback));
    }

    asio::awaitable<std::error_code> respond(HttpResponse response) override
    {
        http::response<http::string_body> message;
        prepare(message, response.status, response.headers);
        message.body() = std::move(response.body);
        if (m_request.method == "HEAD") {
            message.content_length(message.body().size());
            message.body().clear();
        } else {
            message.prepare_payload();
        }
        auto& memory = m_connection.memory;
        const std::size_t requestSize = memory.size();
        memory.hold(requestSize + message.body().capacity());
        memory.beginTransfer();
        m_connection.stream.expires_after(m_options.writeTimeout);
        http::response_serializer<http::string_body> serializer(message);
        beast::error_code ec;
        while (!ec && !serializer.is_done()) {
            std::size_t n = 0;
            std::tie(ec, n) = co_await http::async_write_some(m_connection.stream, serializer, asTuple);
            memory.recordProgress(n);
        }
        memory.endTransfer();
        if (!memory.isClosed())
            memory.hold(requestSize);
        m_isComplete = !ec;
        co_return ec;
    }

    asio::awaitable<std::error_code> beginStream(unsigned status, HttpHeaders headers) override
    {
        http::response<http::empty_body> message;
        prepare(message, status, headers);
        m_isChunked = m_version >= 11;
        if (m_isChunked) {
            message.chunked(true);
        } else {
            m_isKeptAlive = false;
            setResetOnClose(true);
        }
        http::response_serializer<http::empty_body> serializer(message);
        m_connection.stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await http::async_write_header(m_connection.stream, serializer, asTuple);
        co_return ec;
    }

    asio::awaitable<std::error_code> write(std::string_view data) override
    {
        if (data.empty())
            co_return std::error_code();
        m_connection.stream.expires_after(m_options.writeTimeout);
        const auto buf = asio::const_buffer(data.data(), data.size());
        beast::error_code ec;
        if (m_isChunked) {
            const auto chunk = http::make_chunk(buf);
            std::tie(ec, std::ignore) = co_await asio::async_write(m_connection.stream, chunk, asTuple);
        } else {
            std::tie(ec, std::ignore) = co_await asio::async_write(m_connection.stream, buf, asTuple);
        }
        co_return ec;
    }

    asio::awaitable<std::error_code> endStream() override
    {
        beast::error_code ec;
        if (m_isChunked) {
            m_connection.stream.expires_after(m_options.writeTimeout);
            const auto last = http::make_chunk_last();
            std::tie(ec, std::ignore) = co_await asio::async_write(m_connection.stream, last, asTuple);
        } else {
            setResetOnClose(false);
        }
        m_isComplete = !ec;
        co_return ec;
    }

    void close() override
    {
        m_isStarted = true;
        m_isKeptAlive = false;
        m_connection.stream.close();
    }

    /// Returns whether the connection can be used for another request.
    bool isReusable() const { return m_isComplete && m_isKeptAlive; }

private:
    template <typename Message> void prepare(Message& message, unsigned status, const HttpHeaders& headers)
    {
        m_isStarted = true;
        m_isKeptAlive = m_isKeptAlive && !m_isKeepAliveDisabled;
        message.version(m_version);
        message.result(status);
        for (const auto& [name, value] : headers)
            message.insert(name, value);
        message.keep_alive(m_isKeptAlive);
    }

    /// Sets whether closing the connection resets it. An HTTP/1.0 client takes an orderly close for the end of a
    /// stream, so that a stream must end with a reset until it is complete, also if this process crashes.
    void setResetOnClose(bool isEnabled)
    {
        m_connection.isResetOnClose = isEnabled;
        beast::error_code ec;
        m_connection.stream.socket().set_option(asio::socket_base::linger(isEnabled, 0), ec);
    }

    Connection& m_connection;
    const HttpServerOptions& m_options;
    const bool& m_isKeepAliveDisabled;
    HttpRequest m_request;
    unsigned m_version;
    bool m_isKeptAlive;
    bool m_isStarted = false;
    bool m_isChunked = false;
    bool m_isComplete = false;
};

unsigned statusOfReadError(const beast::error_code& ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return 431;
    if (ec == http::error::body_limit)
        return 413;
    if (ec == asio::error::no_memory)
        return 503;
    return 400;
}

bool isConnectionLoss(const beast::error_code& ec)
{
    return ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof
        || ec == asio::error::connection_reset || ec == asio::error::operation_aborted || ec == beast::error::timeout;
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
    auto connection = std::make_shared<Connection>(std::move(socket), options.buffers);
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
    if (openRefusals >= refusalLimit)
        co_return;
    ++openRefusals;
    Connection connection(std::move(socket), nullptr);
    co_await sendProtocolError(connection, 503, "too many connections");
    --openRefusals;
}

asio::awaitable<void> HttpServer::State::serve(std::shared_ptr<Connection> connection)
{
    auto self = shared_from_this();
    for (bool isKeptAlive = true; isKeptAlive && !isDraining;) {
        isKeptAlive = co_await serveRequest(*connection);
        if (connection->buffer.size() == 0 && connection->buffer.capacity() > readSize)
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

asio::awaitable<beast::error_code> HttpServer::State::readHeaderSection(
    Connection& connection, std::string_view& syntaxError)
{
    static constexpr std::string_view endOfHeader = "\r\n\r\n";
    for (;;) {
        const auto data = connection.buffer.data();
        const std::string_view text(static_cast<const char*>(data.data()), data.size());
        const auto end = text.find(endOfHeader);
        syntaxError = findHeaderSyntaxError(text.substr(0, end));
        if (!syntaxError.empty() || end != std::string_view::npos)
            co_return beast::error_code();
        if (text.size() > options.headerLimit)
            co_return http::error::header_limit;
        auto [ec, n] = co_await connection.stream.async_read_some(connection.buffer.prepare(readSize), asTuple);
        if (ec)
            co_return ec == asio::error::eof ? beast::error_code(http::error::partial_message) : ec;
        connection.buffer.commit(n);
        connection.memory.recordProgress(n);
        if (!connection.memory.resize(connection.buffer.capacity()))
            co_return asio::error::no_memory;
    }
}

/// Reads the body and the trailers in bounded steps, and charges the memory for each step before it is taken. Trailers
/// and chunk headers, which stay in the connection's buffer until they are complete, have the limit of a header
/// section.
asio::awaitable<beast::error_code> HttpServer::State::readBody(Connection& connection, RequestParser& parser)
{
    const std::size_t fieldSize = memoryOf(parser.get().base());
    const auto announced = parser.content_length();
    const auto maxSize = static_cast<std::size_t>(announced ? *announced : options.bodyLimit);
    const std::size_t headSize = fieldSize + connection.buffer.capacity();
    if (!connection.memory.resize(headSize) || (announced && !connection.memory.makeRoom(headSize + maxSize)))
        co_return asio::error::no_memory;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, parser.get().version());
        auto [ec, n] = co_await http::async_write(connection.stream, proceed, asTuple);
        if (ec)
            co_return ec;
    }
    auto& body = parser.get().body();
    parser.eager(true);
    while (!parser.is_done()) {
        const std::size_t size = std::min(body.size() + connection.buffer.size() + bodyReadSize, maxSize);
        const std::size_t capacity = std::max(body.capacity(), bodyCapacity(size, maxSize));
        if (!connection.memory.resize(fieldSize + connection.buffer.capacity() + capacity))
            co_return asio::error::no_memory;
        body.reserve(capacity);
        // http::async_read_some() reads on while a chunk is incomplete, without a limit.
        beast::error_code ec;
        connection.buffer.consume(parser.put(connection.buffer.data(), ec));
        if (ec && ec != http::error::need_more)
            co_return ec;
        if (parser.is_done())
            break;
        if (connection.buffer.size() > options.headerLimit)
            co_return http::error::header_limit;
        std::size_t n = 0;
        std::tie(ec, n) = co_await connection.stream.async_read_some(connection.buffer.prepare(bodyReadSize), asTuple);
        if (ec)
            co_return ec == asio::error::eof ? beast::error_code(http::error::partial_message) : ec;
        connection.buffer.commit(n);
        connection.memory.recordProgress(n);
        if (connection.memory.isClosed())
            co_return asio::error::operation_aborted;
    }
    connection.memory.hold(memoryOf(parser.get().base()) + connection.buffer.capacity() + body.capacity());
    co_return beast::error_code();
}

asio::awaitable<bool> HttpServer::State::serveRequest(Connection& connection)
{
    auto& stream = connection.stream;
    ++connection.requestNumber;
    if (connection.buffer.size() == 0) {
        stream.expires_after(options.idleTimeout);
        auto [ec, n] = co_await stream.async_read_some(connection.buffer.prepare(readSize), asTuple);
        if (ec)
            co_return false;
        connection.buffer.commit(n);
    }

    connection.memory.beginTransfer();
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(options.headerLimit));
    parser.body_limit(options.bodyLimit);
    stream.expires_after(options.readTimeout);
    std::string_view syntaxError;
    auto ec = co_await readHeaderSection(connection, syntaxError);
    if (!syntaxError.empty()) {
        co_await sendProtocolError(connection, 400, std::string(syntaxError));
        co_return false;
    }
    std::size_t n = 0;
    if (!ec)
        std::tie(ec, n) = co_await http::async_read_header(stream, connection.buffer, parser, asTuple);
    if (!ec) {
        if (const unsigned status = framingErrorStatus(parser.get().base())) {
            co_await sendProtocolError(connection, status, "ambiguous framing or unsupported transfer coding");
            co_return false;
        }
    }
    if (!ec)
        ec = co_await readBody(connection, parser);
    connection.memory.endTransfer();
    if (connection.memory.isClosed())
        co_return false;
    if (ec == asio::error::no_memory && connection.buffers)
        connection.buffers->logRefusal("refused", connection.clientAddress(), connection.memory.size());
    if (ec) {
        // What was read of the request is not needed for the response.
        parser.release();
        connection.buffer.clear();
        connection.buffer.shrink_to_fit();
        connection.memory.hold(0);
        if (!isConnectionLoss(ec))
            co_await sendProtocolError(connection, statusOfReadError(ec), ec.message());
        co_return false;
    }

    auto message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copyFields(message);
    request.body = std::move(message.body());
    Exchange exchange(
        connection, options, isKeepAliveDisabled, std::move(request), message.version(), message.keep_alive());

    connection.isBusy = true;
    ++activeRequests;
    try {
        co_await handler.handle(exchange);
    } catch (const std::exception& error) {
        LOG(ERROR) << "event=handler-failed target=" << exchange.request().path() << " error=\"" << error.what()
                   << "\"";
    }
    if (!exchange.isStarted()) {
        auto response = handler.protocolError(500, "internal error");
        co_await exchange.respond(std::move(response));
    }
    connection.isBusy = false;
    onRequestFinished();
    co_return exchange.isReusable();
}

asio::awaitable<void> HttpServer::State::sendProtocolError(Connection& connection, unsigned status, std::string detail)
{
    Exchange exchange(connection, options, isKeepAliveDisabled, HttpRequest(), 11, false);
    auto response = handler.protocolError(status, detail);
    if (status == 503 && !response.headers.find("Retry-After"))
        response.headers.set("Retry-After", "1");
    auto ec = co_await exchange.respond(std::move(response));
    if (!ec)
        co_await lingeringClose(connection.stream);
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

bool HttpServer::isDrained() const { return m_state->isDraining && m_state->activeRequests == 0; }

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
    for (const auto& it : state->connections) {
        if (!it->isBusy)
            it->stream.cancel();
    }
    while (state->activeRequests > 0) {
        state->drained.expires_at(SteadyTime::max());
        co_await state->drained.async_wait(asTuple);
    }
}

} // namespace bulrushstack
