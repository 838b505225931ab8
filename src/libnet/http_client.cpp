#include "bulrushstack/net/http_client.h"

#include "http_beast.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <map>

namespace bulrushstack {

using namespace detail;
using asio::ip::tcp;

namespace detail {

struct ClientConnection {
    explicit ClientConnection(asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    SteadyTime idleSince {};
};

using ClientConnectionPtr = std::unique_ptr<ClientConnection>;

/// Idle connections by address, newest last.
class ConnectionPool {
public:
    ConnectionPool(asio::io_context& context, const Clock& clock)
        : m_context(context)
        , m_clock(clock)
    {
    }

    asio::io_context& context() { return m_context; }

    /// Returns a usable connection that has been idle for less than maxIdle, or null.
    ClientConnectionPtr take(const Address& address, std::chrono::nanoseconds maxIdle)
    {
        auto it = m_idle.find(address);
        while (it != m_idle.end() && !it->second.empty()) {
            auto& newest = it->second.back();
            if (m_clock.now() - newest->idleSince >= maxIdle)
                return nullptr;
            auto connection = std::move(newest);
            it->second.pop_back();
            if (!isUnusable(connection->stream.socket()))
                return connection;
        }
        return nullptr;
    }

    void put(const Address& address, ClientConnectionPtr connection)
    {
        static constexpr std::size_t connectionsPerAddress = 64;
        auto& idle = m_idle[address];
        connection->idleSince = m_clock.now();
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
        if (idle.size() > connectionsPerAddress)
            idle.erase(idle.begin());
    }

    void retire(const Address& address) { m_idle.erase(address); }

    /// Sets the time-out of the next operation. Returns false if the deadline has passed.
    bool arm(beast::tcp_stream& stream, const HttpCallOptions& options) const
    {
        auto limit = std::chrono::nanoseconds::max();
        if (options.deadline != SteadyTime::max())
            limit = options.deadline - m_clock.now();
        if (limit <= std::chrono::nanoseconds(0))
            return false;
        if (options.progressTimeout > std::chrono::nanoseconds(0))
            limit = std::min(limit, options.progressTimeout);
        if (limit == std::chrono::nanoseconds::max())
            stream.expires_never();
        else
            stream.expires_after(limit);
        return true;
    }

private:
    asio::io_context& m_context;
    const Clock& m_clock;
    std::map<Address, std::vector<ClientConnectionPtr>> m_idle;
};

} // namespace detail

namespace {

std::error_code translate(const beast::error_code& ec)
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
    return { .code = translate(ec), .verdict = verdict, .detail = std::string(step) + ": " + ec.message() };
}

Failure deadlinePassed(Verdict verdict)
{
    return { .code = Errc::Timeout, .verdict = verdict, .detail = "the deadline has passed" };
}

http::request<http::string_body> toMessage(const Address& address, HttpRequest request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, address.toString());
    for (const auto& [name, value] : request.headers)
        message.insert(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

class PooledStream final : public HttpStream {
public:
    using Parser = http::response_parser<http::string_body>;

    PooledStream(
        std::shared_ptr<ConnectionPool> pool, Address address, HttpCallOptions options, ClientConnectionPtr connection)
        : m_pool(std::move(pool))
        , m_address(std::move(address))
        , m_options(options)
        , m_connection(std::move(connection))
    {
    }

    unsigned status() const override { return m_parser->get().result_int(); }
    const HttpHeaders& headers() const override { return m_headers; }

    /// Reads header blocks until one is final; interim responses (1xx) are skipped.
    asio::awaitable<Result<void>> readHeader(bool isHead)
    {
        do {
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            m_parser->skip(isHead);
            if (!m_pool->arm(m_connection->stream, m_options))
                co_return deadlinePassed(Verdict::MayHaveRun);
            auto [ec, n]
                = co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
            if (ec)
                co_return failureOf(ec, Verdict::MayHaveRun, "reading the response header");
        } while (status() / 100 == 1);
        m_headers = copyFields(m_parser->get().base());
        if (m_parser->need_eof())
            co_return Failure {
                .code = Errc::Malformed, .verdict = Verdict::MayHaveRun, .detail = "the response has no marked end"
            };
        // An eager parser holds back a chunk until the header of the next one has arrived, which delays every event of
        // a stream by one.
        m_parser->eager(false);
        co_return Result<void>();
    }

    asio::awaitable<Result<std::optional<std::string>>> read() override
    {
        using Part = std::optional<std::string>;
        auto& body = m_parser->get().body();
        while (body.empty() && !m_parser->is_done()) {
            if (m_isClosed)
                co_return Failure {
                    .code = Errc::Cancelled, .verdict = Verdict::MayHaveRun, .detail = "the stream was closed"
                };
            if (!m_pool->arm(m_connection->stream, m_options))
                co_return deadlinePassed(Verdict::MayHaveRun);
            auto [ec, n]
                = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
            if (ec)
                co_return failureOf(ec, Verdict::MayHaveRun, "reading the response body");
        }
        if (!body.empty())
            co_return Part(std::exchange(body, std::string()));
        releaseConnection();
        co_return Part();
    }

    asio::awaitable<Result<std::string>> readAll() override
    {
        std::string out;
        for (;;) {
            auto part = co_await read();
            if (!part)
                co_return part.error();
            if (!*part)
                co_return out;
            out += **part;
            if (out.size() > m_options.bodyLimit)
                co_return Failure { .code = Errc::TooLarge,
                    .verdict = Verdict::MayHaveRun,
                    .detail = "the response body exceeds " + std::to_string(m_options.bodyLimit) + " bytes" };
        }
    }

    void close() override
    {
        m_isClosed = true;
        if (m_connection)
            m_connection->stream.close();
    }

private:
    void releaseConnection()
    {
        const bool isReusable
            = !m_isClosed && m_connection && m_parser->keep_alive() && m_connection->buffer.size() == 0;
        if (isReusable)
            m_pool->put(m_address, std::move(m_connection));
        m_connection.reset();
    }

    std::shared_ptr<ConnectionPool> m_pool;
    Address m_address;
    HttpCallOptions m_options;
    ClientConnectionPtr m_connection;
    std::optional<Parser> m_parser;
    HttpHeaders m_headers;
    bool m_isClosed = false;
};

asio::awaitable<Result<ClientConnectionPtr>> connect(
    std::shared_ptr<ConnectionPool> pool, Address address, HttpCallOptions options)
{
    beast::error_code ec;
    const auto host = asio::ip::make_address(address.host, ec);
    if (ec)
        co_return Failure { .code = Errc::InvalidArgument,
            .verdict = Verdict::NotRun,
            .detail = "the host '" + address.host + "' is not numeric" };
    auto connection = std::make_unique<ClientConnection>(pool->context());
    if (!pool->arm(connection->stream, options))
        co_return deadlinePassed(Verdict::NotRun);
    const tcp::endpoint endpoint(host, address.port);
    std::tie(ec) = co_await connection->stream.async_connect(endpoint, asTuple);
    if (ec)
        co_return failureOf(ec, Verdict::NotRun, "connecting to " + address.toString());
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    co_return connection;
}

} // namespace

HttpClient::HttpClient(asio::io_context& context, const Clock& clock)
    : m_pool(std::make_shared<ConnectionPool>(context, clock))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<Result<std::unique_ptr<HttpStream>>> HttpClient::open(
    Address address, HttpRequest request, HttpCallOptions options)
{
    auto pool = m_pool;
    auto connection = pool->take(address, options.maxIdle);
    if (!connection) {
        auto connected = co_await connect(pool, address, options);
        if (!connected)
            co_return connected.error();
        connection = std::move(*connected);
    }
    if (!pool->arm(connection->stream, options))
        co_return deadlinePassed(Verdict::NotRun);
    const bool isHead = request.method == "HEAD";
    const auto message = toMessage(address, std::move(request));
    auto [ec, n] = co_await http::async_write(connection->stream, message, asTuple);
    if (ec)
        co_return failureOf(ec, Verdict::MayHaveRun, "sending the request");
    auto stream = std::make_unique<PooledStream>(std::move(pool), std::move(address), options, std::move(connection));
    auto header = co_await stream->readHeader(isHead);
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

void HttpClient::retireIdle(const Address& address) { m_pool->retire(address); }

} // namespace bulrushstack
