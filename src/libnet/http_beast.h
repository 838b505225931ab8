#pragma once

#include "bulrushstack/net/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bulrushstack::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Copies the header fields of a Beast message.
template <typename Fields> HttpHeaders copyFields(const Fields& fields)
{
    HttpHeaders out;
    for (const auto& it : fields)
        out.add(std::string(it.name_string()), std::string(it.value()));
    return out;
}

/// Body type of messages whose sender may be faulty: a string that grows with the bytes received. Unlike
/// http::string_body it reserves nothing for the length that the header announces, which may be any number.
struct ReceivedBody {
    using value_type = std::string;

    class Reader {
    public:
        template <bool isRequest, typename Fields>
        Reader(http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, beast::error_code& ec) { ec = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, beast::error_code& ec)
        {
            const std::size_t sizeBefore = m_body.size();
            for (const asio::const_buffer it : beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(it.data()), it.size());
            ec = {};
            return m_body.size() - sizeBefore;
        }

        void finish(beast::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };

    using reader = Reader;
};

/// Shuts down sending, then reads and discards input for up to 1 second before closing. Closing a socket with unread
/// input sends a TCP reset, which could destroy the response before the client has read it.
asio::awaitable<void> lingeringClose(beast::tcp_stream& stream);

/// Discards the input that has arrived and closes the connection, without waiting for the client.
void closeAfterInput(beast::tcp_stream& stream);

/// State of the peer of a connection.
enum class PeerState {
    Open,
    Closed, ///< the peer has closed its sending direction, or this side has closed the socket
    Reset, ///< the connection was reset, or broke
};

/// Does not block and consumes no input.
PeerState peerState(asio::ip::tcp::socket& socket);

/// Returns the number of bytes that wait to be read; 0 if the socket is closed.
std::size_t unreadBytes(asio::ip::tcp::socket& socket);

/// Returns whether the connection is closed locally or by the peer. Does not block and consumes no input.
bool isPeerClosed(asio::ip::tcp::socket& socket);

/// Returns whether the connection is open and has input that was not read yet. Does not block and consumes no input.
bool hasInput(asio::ip::tcp::socket& socket);

/// Returns whether a read on the socket returns at once, with data, the end of the input or an error.
bool isReadable(const asio::ip::tcp::socket& socket);

/// Returns whether a write on the socket can take data at once, or fails at once.
bool isWritable(const asio::ip::tcp::socket& socket);

/// Returns whether an idle connection cannot be reused because it is closed or has unexpected input.
bool isUnusable(asio::ip::tcp::socket& socket);

} // namespace bulrushstack::detail
