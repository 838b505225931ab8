#include "background_send.h"

namespace bulrushstack::detail {

BackgroundSend::BackgroundSend(asio::io_context& context)
    : m_ended(context)
{
}

void BackgroundSend::begin() { m_state = State::Sending; }

void BackgroundSend::end(bool isSent)
{
    m_state = isSent ? State::Sent : State::Failed;
    m_ended.cancel();
}

asio::awaitable<bool> BackgroundSend::waitUntilSent(std::chrono::nanoseconds timeout)
{
    if (m_state == State::Sending) {
        // Without a timeout, the time from now on would overflow.
        if (timeout == std::chrono::nanoseconds::max())
            m_ended.expires_at(asio::steady_timer::time_point::max());
        else
            m_ended.expires_after(timeout);
        co_await m_ended.async_wait(asTuple);
    }
    co_return isSent();
}

} // namespace bulrushstack::detail
