#include "server_exchange.h"

namespace bulrushstack::detail {

ServerExchange::ServerExchange(ServerConnection& connection, const HttpServerOptions& options,
    const bool& isKeepAliveDisabled, ReceivedRequest received)
    : m_connection(connection)
    , m_options(options)
    , m_isKeepAliveDisabled(isKeepAliveDisabled)
    , m_request(std::move(received.request))
    , m_version(received.version)
    , m_isKeptAlive(received.isKeptAlive)
{
}

void ServerExchange::onClientGone(std::function<void()> callback)
{
    if (m_connection.buffer.size() == 0)
        m_connection.watchForDisconnect(std::move(callback));
}

asio::awaitable<std::error_code> ServerExchange::respond(HttpResponse response)
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
    http::response_serializer<http::string_body> serializer(message);
    beginWrite();
    beast::error_code ec;
    while (!ec && !serializer.is_done()) {
        std::size_t n = 0;
        std::tie(ec, n) = co_await http::async_write_some(m_connection.stream, serializer, asTuple);
        memory.recordProgress(n);
    }
    ec = endWrite(ec);
    memory.endTransfer();
    if (!memory.isClosed())
        memory.hold(requestSize);
    m_isComplete = !ec;
    co_return ec;
}

asio::awaitable<std::error_code> ServerExchange::beginStream(unsigned status, HttpHeaders headers)
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
    beginWrite();
    auto [ec, n] = co_await http::async_write_header(m_connection.stream, serializer, asTuple);
    co_return endWrite(ec);
}

asio::awaitable<std::error_code> ServerExchange::write(std::string_view data)
{
    if (data.empty())
        co_return std::error_code();
    beginWrite();
    const auto buf = asio::const_buffer(data.data(), data.size());
    beast::error_code ec;
    if (m_isChunked) {
        const auto chunk = http::make_chunk(buf);
        std::tie(ec, std::ignore) = co_await asio::async_write(m_connection.stream, chunk, asTuple);
    } else {
        std::tie(ec, std::ignore) = co_await asio::async_write(m_connection.stream, buf, asTuple);
    }
    co_return endWrite(ec);
}

asio::awaitable<std::error_code> ServerExchange::endStream()
{
    beast::error_code ec;
    if (m_isChunked) {
        beginWrite();
        const auto last = http::make_chunk_last();
        std::tie(ec, std::ignore) = co_await asio::async_write(m_connection.stream, last, asTuple);
        ec = endWrite(ec);
    } else {
        setResetOnClose(false);
    }
    m_isComplete = !ec;
    co_return ec;
}

void ServerExchange::close()
{
    m_isStarted = true;
    m_isKeptAlive = false;
    m_connection.stream.close();
}

void ServerExchange::beginWrite()
{
    m_connection.deadline.expiresAfter(m_options.writeTimeout);
    m_connection.deadline.begin(SocketDeadline::Direction::Write);
}

/// Returns the error of the write, and keeps it for incompleteReason().
beast::error_code ServerExchange::endWrite(const beast::error_code& ec)
{
    m_writeError = m_connection.deadline.end(ec);
    return m_writeError;
}

UnansweredReason ServerExchange::incompleteReason() const
{
    if (m_connection.memory.isClosed())
        return UnansweredReason::ClientStalled;
    if (m_writeError == beast::error::timeout)
        return UnansweredReason::WriteTimeout;
    if (m_connection.clientEnd)
        return *m_connection.clientEnd;
    if (m_writeError && m_writeError != asio::error::operation_aborted)
        return UnansweredReason::ClientReset;
    return UnansweredReason::HandlerClosed;
}

template <typename Message> void ServerExchange::prepare(Message& message, unsigned status, const HttpHeaders& headers)
{
    m_isKeptAlive = m_isKeptAlive && !m_isKeepAliveDisabled;
    message.version(m_version);
    message.result(status);
    for (const auto& [name, value] : headers)
        message.insert(name, value);
    message.keep_alive(m_isKeptAlive);
    // Not before: a field that cannot be sent throws an exception, and the server then responds with an error.
    m_isStarted = true;
}

/// Sets whether closing the connection resets it. An HTTP/1.0 client takes an orderly close for the end of a stream, so
/// that a stream must end with a reset until it is complete, also if this process crashes.
void ServerExchange::setResetOnClose(bool isEnabled)
{
    m_connection.isResetOnClose = isEnabled;
    beast::error_code ec;
    m_connection.stream.socket().set_option(asio::socket_base::linger(isEnabled, 0), ec);
}

} // namespace bulrushstack::detail
