#include "socket_deadline.h"

#include <algorithm>

namespace bulrushstack::detail {

namespace {

/// Time between two looks at an operation whose deadline has passed, until it has ended.
constexpr std::chrono::milliseconds checkInterval { 10 };

/// Maximum time by which a deadline is put off because the event loop was late.
constexpr std::chrono::seconds maxExtension { 1 };

} // namespace

struct SocketDeadline::State : std::enable_shared_from_this<State> {
    explicit State(asio::ip::tcp::socket& watched)
        : socket(watched)
        , timer(watched.get_executor())
    {
    }

    void startTimer(Timer::time_point time)
    {
        timer.expires_at(time);
        timer.async_wait([weak = weak_from_this(), started = operation](beast::error_code ec) {
            auto self = weak.lock();
            if (!ec && self && self->isWatching && self->operation == started)
                self->onExpired();
        });
    }

    void onExpired()
    {
        if (Timer::clock_type::now() < expiry) {
            startTimer(expiry);
            return;
        }
        if (canGoOn()) {
            extend();
        } else {
            hasCancelled = true;
            beast::error_code ec;
            socket.cancel(ec);
        }
        // A composed operation may be between two of its steps, which is when nothing can be cancelled.
        startTimer(std::max(expiry, Timer::clock_type::now() + checkInterval));
    }

    /// Puts a deadline that has passed off by the time by which the event loop was late, once: the peer may have waited
    /// for this side.
    void extend()
    {
        if (isExtended)
            return;
        isExtended = true;
        const auto now = Timer::clock_type::now();
        expiry = now + std::min<std::chrono::nanoseconds>(now - expiry, maxExtension);
    }

    bool canGoOn() const
    {
        return isWatching && (direction == Direction::Read ? isReadable(socket) : isWritable(socket));
    }

    asio::ip::tcp::socket& socket;
    Timer timer;
    Timer::time_point expiry = Timer::time_point::max();
    Direction direction = Direction::Read;
    std::uint64_t operation = 0; ///< lets the timer's handler detect that its operation has ended
    bool isWatching = false;
    bool isExtended = false;
    bool hasCancelled = false; ///< whether the operation was cancelled because of its deadline
};

SocketDeadline::SocketDeadline(asio::ip::tcp::socket& socket)
    : m_state(std::make_shared<State>(socket))
{
}

SocketDeadline::~SocketDeadline()
{
    m_state->isWatching = false;
    m_state->timer.cancel();
}

void SocketDeadline::expiresAfter(std::chrono::nanoseconds timeout)
{
    const auto now = Timer::clock_type::now();
    const bool isNever = timeout >= Timer::time_point::max() - now;
    expiresAt(isNever ? Timer::time_point::max() : now + timeout);
}

void SocketDeadline::expiresAt(Timer::time_point time)
{
    m_state->expiry = time;
    m_state->isExtended = false;
    if (m_state->isWatching)
        m_state->startTimer(time);
}

void SocketDeadline::expiresBy(Timer::time_point time)
{
    if (time < m_state->expiry)
        expiresAt(time);
}

void SocketDeadline::begin(Direction direction)
{
    auto& state = *m_state;
    ++state.operation;
    state.direction = direction;
    state.isWatching = true;
    state.hasCancelled = false;
    if (state.expiry != Timer::time_point::max())
        state.startTimer(state.expiry);
}

beast::error_code SocketDeadline::end(beast::error_code ec)
{
    auto& state = *m_state;
    state.isWatching = false;
    if (state.expiry == Timer::time_point::max())
        return ec;
    state.timer.cancel();
    if (!ec && Timer::clock_type::now() > state.expiry)
        state.extend();
    const bool isTimeout = state.hasCancelled && ec == asio::error::operation_aborted;
    return isTimeout ? beast::error_code(beast::error::timeout) : ec;
}

bool SocketDeadline::canGoOn() const { return m_state->canGoOn(); }

} // namespace bulrushstack::detail
