#include "bulrushstack/net/http_client.h"

#include "connection_pool.h"
#include "http_beast.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bulrushstack {

using namespace detail;
using asio::ip::tcp;

namespace {

std::error_code toErrorCode(const beast::error_code& ec)
{
    if (ec == beast::error::timeout)
        return Errc::Timeout;
    if (ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof
        || ec == asio::error::connection_reset || ec == asio::error::broken_pipe
        || ec == asio::error::operation_aborted)
        return Errc::ConnectionClosed;
    if (ec.category() == beast::error_code(http::error::bad_version).category())
        return Errc::Malformed;
    return ec;
}

Failure failureOf(const beast::error_code& ec, Verdict verdict, std::string_view step)
{
    return { .code = toErrorCode(ec), .verdict = verdict, .detail = std::string(step) + ": " + ec.message() };
}

Failure deadlineFailure(Verdict verdict)
{
    return { .code = Errc::Timeout, .verdict = verdict, .detail = "the deadline has passed" };
}

Failure cancellationFailure(Verdict verdict)
{
    return { .code = Errc::Cancelled, .verdict = verdict, .detail = "the call was cancelled by the caller" };
}

/// Returns a function that closes the connection unless it has already been destroyed.
std::function<void()> makeCloseCallback(const ClientConnectionPtr& connection)
{
    return [weak = std::weak_ptr(connection)] {
        if (auto alive = weak.lock())
            alive->stream.close();
    };
}

http::request<http::string_body> toMessage(const Address& address, HttpRequest request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, address.toString());
    for (const auto& [name, value] : request.headers) {
        if (beast::iequals(name, "Host"))
            message.set(name, value);
        else
            message.insert(name, value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

/// Returns whether the status is in one of the five classes of HTTP (RFC 9110, section 15). The parser accepts any
/// three digits.
bool isDefinedStatus(unsigned status) { return status >= 100 && status <= 599; }

/// Time after the deadline for which a response that has begun to arrive is read.
constexpr std::chrono::milliseconds lateReadTime { 100 };

/// Time without TCP acknowledgements after which a connection that is held idle fails.
constexpr std::chrono::milliseconds idleKeepAliveTimeout { 2000 };

class PooledStream final : public HttpStream {
public:
    using Parser = http::response_parser<ReceivedBody>;

    PooledStream(std::shared_ptr<ConnectionPool> pool, Address address, HttpCallOptions options,
        ClientConnectionPtr connection, bool isHead)
        : m_pool(std::move(pool))
        , m_address(std::move(address))
        , m_options(options)
        , m_connection(std::move(connection))
        , m_connectionInfo(m_connection->info)
        , m_isHead(isHead)
    {
    }

    ~PooledStream() override
    {
        if (m_connection)
            m_connection->stream.close();
    }

    PooledStream(const PooledStream&) = delete;
    PooledStream& operator=(const PooledStream&) = delete;

    unsigned status() const override { return m_parser->get().result_int(); }
    const HttpHeaders& headers() const override { return m_headers; }

    const HttpConnectionInfo& connection() const override { return m_connectionInfo; }

    BodyFraming framing() const override
    {
        if (m_parser->chunked())
            return BodyFraming::Chunked;
        return m_parser->need_eof() ? BodyFraming::CloseDelimited : BodyFraming::ContentLength;
    }

    /// Reads the header of the final response and skips interim responses (1xx).
    asio::awaitable<Result<void>> readHeader()
    {
        auto limits = m_options;
        if (m_options.headerDeadline) {
            limits.deadline = std::min(m_options.deadline, *m_options.headerDeadline);
            limits.progressTimeout = {};
        }
        static constexpr unsigned interimResponseLimit = 16;
        unsigned headers = 0;
        do {
            if (headers++ > interimResponseLimit)
                co_return Failure { .code = Errc::Malformed,
                    .verdict = Verdict::MayHaveRun,
                    .detail = "more than " + std::to_string(interimResponseLimit) + " interim responses" };
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            m_parser->skip(m_isHead);
            if (!beginRead(limits))
                co_return deadlineFailure(Verdict::MayHaveRun);
            auto [readError, n]
                = co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
            if (auto ec = m_connection->deadline.end(readError))
                co_return failureOf(ec, Verdict::MayHaveRun, "reading the response header");
            if (!isDefinedStatus(status()))
                co_return Failure { .code = Errc::Malformed,
                    .verdict = Verdict::MayHaveRun,
                    .detail
                    = "the response has the status " + std::to_string(status()) + ", which HTTP does not define" };
        } while (status() / 100 == 1);
        m_headers = copyFields(m_parser->get().base());
        m_connection->idleLimit = advertisedIdleLimit(m_headers);
        if (m_headers.count("Transfer-Encoding") > 0 && !m_parser->chunked())
            co_return Failure {
                .code = Errc::Malformed, .verdict = Verdict::MayHaveRun, .detail = "unsupported transfer coding"
            };
        if (m_parser->need_eof() && !m_options.isCloseDelimitedBodyAccepted)
            co_return Failure { .code = Errc::Malformed,
                .verdict = Verdict::MayHaveRun,
                .detail = "the response has neither Content-Length nor chunked coding" };
        // An eager parser does not return a chunk until the header of the next chunk has arrived, which would delay
        // each event of a stream until the following event.
        m_parser->eager(false);
        co_return Result<void>();
    }

    asio::awaitable<Result<std::optional<std::string>>> read() override
    {
        using Part = std::optional<std::string>;
        auto& body = m_parser->get().body();
        while (body.empty() && !m_parser->is_done()) {
            if (m_isClosed)
                co_return Failure { .code = Errc::Cancelled,
                    .verdict = Verdict::MayHaveRun,
                    .detail = "the response stream was closed by the caller" };
            if (!beginRead(m_options))
                co_return deadlineFailure(Verdict::MayHaveRun);
            auto [readError, n]
                = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
            if (auto ec = m_connection->deadline.end(readError))
                co_return failureOf(ec, Verdict::MayHaveRun, "reading the response body");
        }
        if (!body.empty())
            co_return Part(std::exchange(body, std::string()));
        if (m_connection && m_parser->need_eof()) {
            if (auto failure = co_await confirmEnd())
                co_return *failure;
        }
        if (!m_isConnectionKept)
            releaseConnection();
        co_return Part();
    }

    asio::awaitable<Result<std::string>> readAll() override
    {
        const auto announced = m_parser->content_length();
        if (!m_parser->is_done() && announced && *announced > m_options.bodyLimit)
            co_return oversizedBodyFailure();
        std::string out;
        BufferShare share(m_options.bufferBudget);
        for (;;) {
            auto part = co_await read();
            if (!part)
                co_return part.error();
            if (!*part)
                co_return out;
            out += **part;
            if (out.size() > m_options.bodyLimit)
                co_return oversizedBodyFailure();
            if (!share.resize(out.size()))
                co_return Failure { .code = Errc::TooLarge,
                    .verdict = Verdict::MayHaveRun,
                    .detail
                    = "other responses leave no memory for more than " + std::to_string(out.size()) + " bytes" };
        }
    }

    asio::awaitable<Result<void>> nextResponse() override
    {
        if (m_parser->need_eof() || !m_parser->keep_alive())
            co_return Failure { .code = Errc::Malformed,
                .verdict = Verdict::MayHaveRun,
                .detail = "the server closes the connection after a response to an earlier request" };
        m_isConnectionKept = true;
        auto rest = co_await readAll();
        m_isConnectionKept = false;
        if (!rest)
            co_return rest.error();
        co_return co_await readHeader();
    }

    void close() override
    {
        m_isClosed = true;
        if (m_connection)
            m_connection->stream.close();
    }

private:
    /// Begins the deadline of a read. Returns false if it has passed and nothing has arrived, or if what arrived has
    /// been read for long enough.
    bool beginRead(const HttpCallOptions& limits)
    {
        auto& deadline = m_connection->deadline;
        if (!m_pool->setOperationTimeout(*m_connection, limits)) {
            const bool hasArrived = m_options.isLateResponseRead
                && (m_connection->buffer.size() > 0 || isReadable(m_connection->stream.socket()));
            const auto now = m_pool->now();
            if (hasArrived && !m_lateReadEnd)
                m_lateReadEnd = now + lateReadTime;
            if (!hasArrived || now >= *m_lateReadEnd)
                return false;
            deadline.expiresAfter(*m_lateReadEnd - now);
        }
        deadline.begin(SocketDeadline::Direction::Read);
        return true;
    }

    /// Returns a failure unless the connection, whose end is the end of the body, has ended in order.
    asio::awaitable<std::optional<Failure>> confirmEnd()
    {
        auto& send = m_connection->backgroundSend;
        const bool isSent = co_await send.waitUntilSent(m_pool->operationTimeout(m_options));
        if (isSent)
            co_return std::nullopt;
        if (!send.hasFailed())
            co_return deadlineFailure(Verdict::MayHaveRun);
        co_return Failure { .code = Errc::ConnectionClosed,
            .verdict = Verdict::MayHaveRun,
            .detail = "the connection broke while the request was being sent, before the end of the response body" };
    }

    Failure oversizedBodyFailure() const
    {
        return { .code = Errc::TooLarge,
            .verdict = Verdict::MayHaveRun,
            .detail = "the response body exceeds " + std::to_string(m_options.bodyLimit) + " bytes" };
    }

    void releaseConnection()
    {
        if (m_options.cancellation)
            m_options.cancellation->setCloseCallback(nullptr);
        // The server would read the rest of a request that was not written as a whole as the next request.
        const bool isReusable = !m_isClosed && m_connection && m_parser->keep_alive() && !m_parser->need_eof()
            && m_connection->buffer.size() == 0 && m_connection->backgroundSend.isSent();
        if (isReusable)
            m_pool->release(m_address, std::move(m_connection));
        else if (m_connection)
            m_connection->stream.close();
        m_connection.reset();
    }

    std::shared_ptr<ConnectionPool> m_pool;
    Address m_address;
    HttpCallOptions m_options;
    ClientConnectionPtr m_connection;
    HttpConnectionInfo m_connectionInfo;
    bool m_isHead; ///< whether the request is a HEAD request, whose response has no body
    std::optional<Parser> m_parser;
    HttpHeaders m_headers;
    bool m_isConnectionKept = false; ///< whether read() keeps the connection after the body for the next response
    bool m_isClosed = false;
    /// Time until which a response is read that arrived before the deadline, while the event loop was late.
    std::optional<SteadyTime> m_lateReadEnd;
};

using RequestMessage = http::request<http::string_body>;

/// Writes the request while the caller already reads the response.
asio::awaitable<void> sendInBackground(ClientConnectionPtr connection, std::shared_ptr<const RequestMessage> message)
{
    auto [ec, n] = co_await http::async_write(connection->stream, *message, asTuple);
    connection->backgroundSend.end(!ec);
    // The coroutine that reads the response reports the broken connection. Shutting down sending tells the server that
    // the truncated request will not be completed.
    if (ec && ec != asio::error::operation_aborted && connection->stream.socket().is_open())
        connection->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

/// Sends the request. If the body is larger than what a socket send buffer always holds, the request is written in the
/// background while the response is read, since the server may respond before it has read the whole request.
asio::awaitable<beast::error_code> sendRequest(ClientConnectionPtr connection, RequestMessage message)
{
    static constexpr std::size_t immediateSendLimit = 4096; // bytes
    auto shared = std::make_shared<const RequestMessage>(std::move(message));
    if (shared->body().size() <= immediateSendLimit) {
        connection->deadline.begin(SocketDeadline::Direction::Write);
        auto [ec, n] = co_await http::async_write(connection->stream, *shared, asTuple);
        co_return connection->deadline.end(ec);
    }
    connection->backgroundSend.begin();
    asio::co_spawn(connection->stream.get_executor(), sendInBackground(connection, std::move(shared)), asio::detached);
    co_return beast::error_code();
}

asio::awaitable<beast::error_code> establish(ClientConnection& connection, const tcp::endpoint& endpoint)
{
    connection.deadline.begin(SocketDeadline::Direction::Write);
    auto [ec] = co_await connection.stream.async_connect(endpoint, asTuple);
    co_return connection.deadline.end(ec);
}

asio::awaitable<Result<ClientConnectionPtr>> connect(
    std::shared_ptr<ConnectionPool> pool, Address address, HttpCallOptions options)
{
    beast::error_code ec;
    const auto host = asio::ip::make_address(address.host, ec);
    if (ec)
        co_return Failure { .code = Errc::InvalidArgument,
            .verdict = Verdict::NotRun,
            .detail = "host '" + address.host + "' is not a numeric IP address" };
    auto connection = pool->create();
    auto limits = options;
    if (options.connectTimeout > std::chrono::nanoseconds(0))
        limits.progressTimeout = options.connectTimeout;
    if (!pool->setOperationTimeout(*connection, limits))
        co_return deadlineFailure(Verdict::NotRun);
    if (options.cancellation)
        options.cancellation->setCloseCallback(makeCloseCallback(connection));
    const tcp::endpoint endpoint(host, address.port);
    ec = co_await establish(*connection, endpoint);
    if (ec == asio::error::no_descriptors) {
        pool->closeAllIdle();
        ec = co_await establish(*connection, endpoint);
    }
    if (ec)
        co_return failureOf(ec, Verdict::NotRun, "connecting to " + address.toString());
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    if (options.tcpKeepAliveTimeout > std::chrono::milliseconds(0))
        setTcpKeepAliveTimeout(connection->stream.socket(), options.tcpKeepAliveTimeout);
    connection->info.establishedAt = pool->now();
    co_return connection;
}

} // namespace

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::ContentLength:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::CloseDelimited:
        return "close-delimited";
    }
    return "unknown";
}

void HttpCancellation::cancel()
{
    m_isCancelled = true;
    if (auto close = std::exchange(m_closeCallback, nullptr))
        close();
}

HttpClient::HttpClient(asio::io_context& context, const Clock& clock)
    : m_pool(std::make_shared<ConnectionPool>(context, clock))
{
}

HttpClient::~HttpClient() { m_pool->shutDown(); }

asio::awaitable<Result<std::unique_ptr<HttpStream>>> HttpClient::open(
    Address address, HttpRequest request, HttpCallOptions options)
{
    auto pool = m_pool;
    if (options.cancellation && options.cancellation->isCancelled())
        co_return cancellationFailure(Verdict::NotRun);
    auto connection = pool->acquire(address, options, request.id);
    if (!connection && options.establishedBefore)
        co_return Failure { .code = Errc::Unavailable,
            .verdict = Verdict::NotRun,
            .detail = "no connection to " + address.toString() + " is old enough and has not carried the request" };
    if (!connection) {
        auto connected = co_await connect(pool, address, options);
        if (!connected)
            co_return connected.error();
        connection = std::move(*connected);
    }
    if (!pool->setOperationTimeout(*connection, options))
        co_return deadlineFailure(Verdict::NotRun);
    if (options.cancellation) {
        if (options.cancellation->isCancelled())
            co_return cancellationFailure(Verdict::NotRun);
        options.cancellation->setCloseCallback(makeCloseCallback(connection));
    }
    if (!pool->maySend(options))
        co_return deadlineFailure(Verdict::NotRun);
    const bool isHead = request.method == "HEAD";
    ++connection->info.requests;
    connection->sentIds.add(request.id);
    auto ec = co_await sendRequest(connection, toMessage(address, std::move(request)));
    if (ec)
        co_return failureOf(ec, Verdict::MayHaveRun, "sending the request");
    auto stream
        = std::make_unique<PooledStream>(std::move(pool), std::move(address), options, std::move(connection), isHead);
    auto header = co_await stream->readHeader();
    if (!header)
        co_return header.error();
    co_return std::unique_ptr<HttpStream>(std::move(stream));
}

asio::awaitable<Result<HttpResponse>> HttpClient::call(Address address, HttpRequest request, HttpCallOptions options)
{
    auto stream = co_await open(std::move(address), std::move(request), options);
    if (!stream)
        co_return stream.error();
    auto body = co_await (*stream)->readAll();
    if (!body)
        co_return body.error();
    HttpResponse response;
    response.status = (*stream)->status();
    response.headers = (*stream)->headers();
    response.body = std::move(*body);
    co_return response;
}

asio::awaitable<bool> HttpClient::isListening(Address address, std::chrono::nanoseconds timeout)
{
    HttpCallOptions options;
    options.connectTimeout = timeout;
    auto connection = co_await connect(m_pool, std::move(address), options);
    co_return connection.has_value();
}

asio::awaitable<Result<std::unique_ptr<IdleConnection>>> HttpClient::holdIdleConnection(
    Address address, std::chrono::nanoseconds timeout, std::chrono::nanoseconds maxIdle)
{
    auto pool = m_pool;
    auto connection = pool->takeLongestIdle(address, maxIdle);
    if (!connection) {
        HttpCallOptions options;
        options.connectTimeout = timeout;
        options.tcpKeepAliveTimeout = idleKeepAliveTimeout;
        auto connected = co_await connect(pool, address, options);
        if (!connected)
            co_return connected.error();
        connection = std::move(*connected);
        connection->idleSince = connection->info.establishedAt;
    }
    co_return std::make_unique<IdleConnection>(std::move(pool), std::move(address), std::move(connection));
}

void HttpClient::closeIdleConnections(const Address& address) { m_pool->closeIdle(address); }

bool HttpClient::hasIdleConnection(
    const Address& address, SteadyTime establishedBefore, std::string_view requestId) const
{
    return m_pool->hasIdle(address, establishedBefore, requestId);
}

HttpConnectionCounts HttpClient::connectionCounts() const { return m_pool->counts(); }

} // namespace bulrushstack
