#include "service_calls_core.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

// Longest single wait of a timer. A duration near the maximum of its type would overflow the expiry time.
constexpr std::chrono::nanoseconds maxTimerWait = std::chrono::hours(24);

/// RAII guard that keeps a timer in the list of waiters, even if the coroutine is destroyed while it waits.
class TimerRegistration {
public:
    TimerRegistration(std::vector<asio::steady_timer*>& timers, asio::steady_timer& timer)
        : m_timers(timers)
        , m_timer(&timer)
    {
        m_timers.push_back(m_timer);
    }
    ~TimerRegistration() { std::erase(m_timers, m_timer); }
    TimerRegistration(const TimerRegistration&) = delete;
    TimerRegistration& operator=(const TimerRegistration&) = delete;

private:
    std::vector<asio::steady_timer*>& m_timers;
    asio::steady_timer* m_timer;
};

} // namespace

asio::awaitable<bool> AsyncCondition::wait(std::chrono::nanoseconds limit)
{
    if (limit <= std::chrono::nanoseconds(0))
        co_return false;
    asio::steady_timer timer(m_context);
    timer.expires_after(std::min(limit, maxTimerWait));
    const TimerRegistration registration(m_waiters, timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return ec == asio::error::operation_aborted;
}

void AsyncCondition::notify()
{
    for (auto* timer : m_waiters)
        timer->cancel();
}

ServiceCallCore::ServiceCallCore(ServiceCallDependencies dependencies, ServiceCallOptions callOptions)
    : deps(std::move(dependencies))
    , options(callOptions)
    , attempts(callOptions.endedAttemptLimit)
    , outstandingChanged(deps.context)
    , stopRequested(deps.context)
    , random(std::random_device {}())
{
}

SteadyTime ServiceCallCore::storeDeadline(SteadyTime deadline) const
{
    return std::min(deadline, deps.clock.now() + options.storeTimeout);
}

std::chrono::nanoseconds ServiceCallCore::jitteredDelay(std::chrono::nanoseconds base, unsigned round)
{
    const auto longest = (base * (1U << std::min(round, 6U))).count();
    std::uniform_int_distribution<std::chrono::nanoseconds::rep> distribution(longest / 2, longest);
    return std::chrono::nanoseconds(distribution(random));
}

OutstandingCallGuard::OutstandingCallGuard(ServiceCallCorePtr core)
    : m_core(std::move(core))
{
    ++m_core->outstanding;
}

OutstandingCallGuard::~OutstandingCallGuard()
{
    --m_core->outstanding;
    m_core->outstandingChanged.notify();
}

std::string upstreamIdempotencyKey(const RequestContext& context, const ServiceRequest& request)
{
    // The name of a team contains no colon, so the result is unambiguous.
    return request.idempotencyKey.empty() ? std::string() : context.team->name + ":" + request.idempotencyKey;
}

ServiceOutcome problemOutcome(ProblemCode code, Verdict verdict, std::string detail, std::chrono::seconds retryAfter)
{
    Problem problem { .code = code, .detail = std::move(detail), .verdict = verdict, .retryAfter = std::nullopt };
    if (retryAfter.count() > 0)
        problem.retryAfter = retryAfter;
    return { .result = std::move(problem), .verdict = verdict, .isReplay = false };
}

} // namespace bulrushstack
