#pragma once

#include "http_beast.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace bulrushstack::detail {

/// Progress of a request that is written in the background while its response is read.
///
/// A write that is pending when the peer resets the connection learns of the reset, and a read then sees an end of the
/// connection in order. Whoever takes such an end as the end of a response therefore waits until the request was sent:
///
///     const bool isInOrder = co_await send.waitUntilSent(timeout);
class BackgroundSend {
public:
    explicit BackgroundSend(asio::io_context& context);

    void begin();
    /// Records that the request was written, or that the write failed.
    void end(bool isSent);

    /// Returns whether all requests so far were written to the connection as a whole.
    bool isSent() const { return m_state == State::Sent; }
    bool hasFailed() const { return m_state == State::Failed; }

    /// Waits until the request was written or the write failed, for the given time at most. Returns isSent(). Only one
    /// coroutine waits at a time.
    asio::awaitable<bool> waitUntilSent(std::chrono::nanoseconds timeout);

private:
    enum class State {
        Sent,
        Sending,
        Failed,
    };

    State m_state = State::Sent;
    asio::steady_timer m_ended; ///< cancelled when the write ends
};

} // namespace bulrushstack::detail
