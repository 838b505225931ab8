#include "bulrushstack/execution/wakeable_timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace bulrushstack {

namespace {

class SystemTimer final : public WakeableTimer {
public:
    explicit SystemTimer(boost::asio::io_context& context)
        : m_timer(context)
    {
    }

    boost::asio::awaitable<void> waitUntil(SteadyTime time) override
    {
        if (!std::exchange(m_isWoken, false)) {
            m_timer.expires_at(time);
            co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            m_isWoken = false;
        }
    }

    void wake() override
    {
        m_isWoken = true;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_isWoken = false;
};

} // namespace

TimerFactory systemTimerFactory(boost::asio::io_context& context)
{
    return [&context] { return std::make_shared<SystemTimer>(context); };
}

} // namespace bulrushstack
