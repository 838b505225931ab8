#include "weight_store.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

namespace bulrushstack::standins {

namespace asio = boost::asio;

WeightSchedule::WeightSchedule(WeightStoreOptions options)
    : m_options(options)
{
}

SteadyTime WeightSchedule::reserveStart(SteadyTime now)
{
    if (m_options.rateMilli == 0)
        return now;
    const auto start = std::max(now, m_nextStart);
    m_nextStart = start + std::chrono::nanoseconds(std::chrono::seconds(1000)) / m_options.rateMilli;
    return start;
}

WeightSchedule::Progress WeightSchedule::begin(SteadyTime now)
{
    advance(now);
    ++m_inFlight;
    return m_progress + m_options.loadTime;
}

std::chrono::nanoseconds WeightSchedule::remainingTime(Progress goal, SteadyTime now)
{
    advance(now);
    const auto left = (goal - m_progress).count();
    if (left < 1)
        return {};
    return std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(left / speed())));
}

void WeightSchedule::end(SteadyTime now)
{
    advance(now);
    --m_inFlight;
}

void WeightSchedule::advance(SteadyTime now)
{
    m_progress += Progress(now - m_advancedTo) * speed();
    m_advancedTo = now;
}

double WeightSchedule::speed() const
{
    if (m_inFlight <= m_options.concurrency)
        return 1;
    return static_cast<double>(m_options.concurrency) / static_cast<double>(m_inFlight);
}

WeightStore::WeightStore(const Clock& clock, WeightStoreOptions options)
    : m_clock(clock)
    , m_schedule(options)
{
}

asio::awaitable<void> WeightStore::load()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const auto now = m_clock.now();
    timer.expires_after(m_schedule.reserveStart(now) - now);
    co_await timer.async_wait(asio::use_awaitable);

    const auto goal = m_schedule.begin(m_clock.now());
    m_activeTimers.insert(&timer);
    for (;;) {
        const auto left = m_schedule.remainingTime(goal, m_clock.now());
        if (left == std::chrono::nanoseconds::zero())
            break;
        timer.expires_after(left);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    m_activeTimers.erase(&timer);
    m_schedule.end(m_clock.now());
    // The remaining loads now progress faster, so wake them to recompute their wait.
    for (auto* it : m_activeTimers)
        it->cancel();
}

} // namespace bulrushstack::standins
