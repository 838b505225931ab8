#pragma once

#include "http_beast.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace bulrushstack::detail {

/// Cancels operations on a socket that cannot go on when their deadline has passed.
///
/// Its timer looks at the socket before it cancels: where input has arrived, or the peer has taken output, the
/// operation goes on, however late the event loop runs. An operation that completes keeps its result, also if its
/// deadline has passed. beast::tcp_stream, in contrast, closes the socket when its timer's handler runs first, and
/// drops what the operation has read.
///
///     deadline.expiresAfter(timeout);
///     deadline.begin(SocketDeadline::Direction::Read);
///     auto [ec, n] = co_await socket.async_read_some(buf, asTuple);
///     ec = deadline.end(ec); // beast::error::timeout if the deadline has cancelled the operation
///
/// Between begin() and end() the socket must not be moved. A deadline serves one operation at a time.
class SocketDeadline {
public:
    using Timer = asio::steady_timer;

    enum class Direction {
        Read,
        Write,
    };

    explicit SocketDeadline(asio::ip::tcp::socket& socket);
    ~SocketDeadline();

    SocketDeadline(const SocketDeadline&) = delete;
    SocketDeadline& operator=(const SocketDeadline&) = delete;

    /// Sets the deadline of this and further operations. There is none until then.
    void expiresAfter(std::chrono::nanoseconds timeout);
    void expiresAt(Timer::time_point time);

    /// Brings the deadline forward to the given time, unless it is earlier.
    void expiresBy(Timer::time_point time);

    /// Watches the operation that is about to begin.
    void begin(Direction direction);

    /// Ends the watch. Returns the error of the operation, or beast::error::timeout in place of its cancellation.
    beast::error_code end(beast::error_code ec);

    /// Returns whether the operation that is watched can go on, because input has arrived or output can be written.
    /// False if none is watched.
    bool canGoOn() const;

private:
    struct State;
    std::shared_ptr<State> m_state; ///< shared with the timer's handler, which may run after the destructor
};

} // namespace bulrushstack::detail
