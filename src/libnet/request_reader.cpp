#include "request_reader.h"

#include <algorithm>

namespace bulrushstack::detail {

namespace {

/// Maximum number of bytes that one read of a body returns. Smaller steps cost a small machine many system calls for
/// the long prompts of a burst.
constexpr std::size_t bodyReadSize = 16 * 1024;

/// Estimated memory in bytes of a header field beside its text, in Beast's message and in the copy for the handler.
constexpr std::size_t fieldOverhead = 192;
/// A body whose size is not known yet starts with at most this capacity, in bytes.
constexpr std::size_t initialBodyCapacity = headerReadSize;

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

RequestReader::RequestReader(ServerConnection& connection, const HttpServerOptions& options)
    : m_connection(connection)
    , m_options(options)
{
    m_parser.header_limit(static_cast<std::uint32_t>(options.headerLimit));
    m_parser.body_limit(options.bodyLimit);
}

unsigned RequestReader::framingErrorStatus() const
{
    const auto& fields = m_parser.get().base();
    const auto codings = fields.count(http::field::transfer_encoding);
    if (codings == 0)
        return 0;
    if (codings > 1 || fields.count(http::field::content_length) > 0)
        return 400;
    return beast::iequals(fields[http::field::transfer_encoding], "chunked") ? 0 : 501;
}

asio::awaitable<beast::error_code> RequestReader::readHeader()
{
    if (auto ec = co_await readHeaderSection())
        co_return ec;
    if (!m_syntaxError.empty())
        co_return http::error::bad_line_ending;
    m_connection.deadline.begin(SocketDeadline::Direction::Read);
    auto [ec, n] = co_await http::async_read_header(m_connection.stream, m_connection.buffer, m_parser, asTuple);
    co_return m_connection.deadline.end(ec);
}

asio::awaitable<beast::error_code> RequestReader::readHeaderSection()
{
    static constexpr std::string_view endOfHeader = "\r\n\r\n";
    for (;;) {
        const auto data = m_connection.buffer.data();
        const std::string_view text(static_cast<const char*>(data.data()), data.size());
        const auto end = text.find(endOfHeader);
        m_syntaxError = findHeaderSyntaxError(text.substr(0, end));
        if (!m_syntaxError.empty() || end != std::string_view::npos)
            co_return beast::error_code();
        if (text.size() > m_options.headerLimit)
            co_return http::error::header_limit;
        if (auto ec = co_await readSome(headerReadSize))
            co_return ec;
        if (!m_connection.memory.resize(m_connection.buffer.capacity()))
            co_return asio::error::no_memory;
    }
}

asio::awaitable<beast::error_code> RequestReader::readBody()
{
    const std::size_t fieldSize = memoryOf(m_parser.get().base());
    const auto announced = m_parser.content_length();
    const auto maxSize = static_cast<std::size_t>(announced ? *announced : m_options.bodyLimit);
    auto& buffer = m_connection.buffer;
    auto& memory = m_connection.memory;
    const std::size_t headSize = fieldSize + buffer.capacity();
    if (!memory.resize(headSize) || (announced && !memory.makeRoom(headSize + maxSize)))
        co_return asio::error::no_memory;
    if (beast::iequals(m_parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, m_parser.get().version());
        m_connection.deadline.begin(SocketDeadline::Direction::Write);
        auto [writeError, n] = co_await http::async_write(m_connection.stream, proceed, asTuple);
        if (auto ec = m_connection.deadline.end(writeError))
            co_return ec;
    }
    auto& body = m_parser.get().body();
    m_parser.eager(true);
    while (!m_parser.is_done()) {
        const std::size_t size = std::min(body.size() + buffer.size() + bodyReadSize, maxSize);
        const std::size_t capacity = std::max(body.capacity(), bodyCapacity(size, maxSize));
        if (!memory.resize(fieldSize + buffer.capacity() + capacity))
            co_return asio::error::no_memory;
        body.reserve(capacity);
        // http::async_read_some() reads on while a chunk is incomplete, without a limit.
        beast::error_code ec;
        buffer.consume(m_parser.put(buffer.data(), ec));
        if (ec && ec != http::error::need_more)
            co_return ec;
        if (m_parser.is_done())
            break;
        if (buffer.size() > m_options.headerLimit)
            co_return http::error::header_limit;
        if (auto readError = co_await readSome(bodyReadSize))
            co_return readError;
        if (memory.isClosed())
            co_return asio::error::operation_aborted;
    }
    memory.hold(memoryOf(m_parser.get().base()) + buffer.capacity() + body.capacity());
    co_return beast::error_code();
}

/// Appends what one read returns to the connection's buffer.
asio::awaitable<beast::error_code> RequestReader::readSome(std::size_t size)
{
    m_connection.deadline.begin(SocketDeadline::Direction::Read);
    auto [readError, n] = co_await m_connection.stream.async_read_some(m_connection.buffer.prepare(size), asTuple);
    if (auto ec = m_connection.deadline.end(readError))
        co_return ec == asio::error::eof ? beast::error_code(http::error::partial_message) : ec;
    m_connection.buffer.commit(n);
    m_connection.recordReceived(n);
    m_connection.memory.recordProgress(n);
    co_return beast::error_code();
}

} // namespace bulrushstack::detail
