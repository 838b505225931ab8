#include "http_beast.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>

namespace bulrushstack::detail {

namespace {

enum class SocketInput {
    None,
    Data,
    Closed,
    Broken,
};

SocketInput peek(asio::ip::tcp::socket& socket)
{
    char c = 0;
    const auto n = ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return SocketInput::Data;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return SocketInput::None;
    return n == 0 ? SocketInput::Closed : SocketInput::Broken;
}

bool isReady(const asio::ip::tcp::socket& socket, short events)
{
    // native_handle() is not const, but changes nothing.
    pollfd descriptor { .fd = const_cast<asio::ip::tcp::socket&>(socket).native_handle(), .events = events };
    return ::poll(&descriptor, 1, 0) > 0;
}

} // namespace

asio::awaitable<void> lingeringClose(beast::tcp_stream& stream)
{
    static constexpr std::chrono::seconds lingerTime { 1 };
    static constexpr int lingerReads = 256;
    beast::error_code ec;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    stream.expires_after(lingerTime);
    std::array<char, 16384> buf;
    for (int i = 0; i < lingerReads && !ec; ++i)
        std::tie(ec, std::ignore) = co_await stream.async_read_some(asio::buffer(buf), asTuple);
    stream.close();
}

void closeAfterInput(beast::tcp_stream& stream)
{
    beast::error_code ec;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    std::array<char, 16384> buf;
    static constexpr int readLimit = 16; // a client that goes on sending must not hold the event loop
    for (int i = 0; i < readLimit && !ec && hasInput(stream.socket()); ++i)
        stream.socket().read_some(asio::buffer(buf), ec);
    stream.close();
}

PeerState peerState(asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return PeerState::Closed;
    switch (peek(socket)) {
    case SocketInput::Closed:
        return PeerState::Closed;
    case SocketInput::Broken:
        return PeerState::Reset;
    default:
        return PeerState::Open;
    }
}

std::size_t unreadBytes(asio::ip::tcp::socket& socket)
{
    beast::error_code ec;
    const std::size_t n = socket.is_open() ? socket.available(ec) : 0;
    return ec ? 0 : n;
}

bool isPeerClosed(asio::ip::tcp::socket& socket) { return peerState(socket) != PeerState::Open; }

bool hasInput(asio::ip::tcp::socket& socket) { return socket.is_open() && peek(socket) == SocketInput::Data; }

bool isReadable(const asio::ip::tcp::socket& socket) { return socket.is_open() && isReady(socket, POLLIN); }

bool isWritable(const asio::ip::tcp::socket& socket) { return socket.is_open() && isReady(socket, POLLOUT); }

bool isUnusable(asio::ip::tcp::socket& socket) { return !socket.is_open() || peek(socket) != SocketInput::None; }

} // namespace bulrushstack::detail
