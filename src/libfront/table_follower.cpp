#include "table_follower.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr TableReadTimeouts readTimeouts;
constexpr std::chrono::milliseconds initialBackoff { 40 };
constexpr std::chrono::milliseconds maxBackoff { 400 };

asio::awaitable<void> waitFor(asio::steady_timer& timer, std::chrono::milliseconds duration)
{
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

TableFollower::TableFollower(asio::io_context& context, const Clock& clock, TableFeed& feed,
    TableFollowerOptions options, TableObserver& observer)
    : m_clock(clock)
    , m_feed(feed)
    , m_options(std::move(options))
    , m_observer(observer)
    , m_timer(context)
    , m_changeBatchDelay(m_options.changeBatchDelay)
    , m_random(m_options.randomSeed)
{
}

void TableFollower::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

asio::awaitable<void> TableFollower::run()
{
    while (!m_isStopped) {
        const auto callStart = m_clock.now();
        auto result = co_await poll(callStart);
        if (result) {
            if (m_failures > 0) {
                LOG(INFO) << "event=dependency-regained dependency=store table=" << m_options.table
                          << " failed_calls=" << m_failures << " version=" << m_version;
                m_observer.onStoreRegained();
            }
            m_failures = 0;
            continue;
        }
        if (result.error().code == Errc::NotFound) {
            LOG(INFO) << "event=history-lost table=" << m_options.table << " version=" << m_version;
            m_isSynchronized = false;
            continue;
        }
        if (m_failures++ == 0) {
            LOG(WARNING) << "event=dependency-lost dependency=store table=" << m_options.table
                         << " version=" << m_version
                         << " after_ms=" << millisecondsOf(m_clock.now() - callStart).count() << " error=\""
                         << result.error().code.message() << ": " << result.error().detail << "\"";
            m_observer.onStoreLost(result.error());
        }
        co_await backOffAfterFailure();
    }
}

asio::awaitable<Result<void>> TableFollower::poll(SteadyTime startedAt)
{
    if (!m_isSynchronized) {
        auto snapshot = co_await m_feed.snapshot(m_options.table, readTimeouts);
        if (!snapshot)
            co_return snapshot.error();
        if (m_failures > 0)
            m_observer.onStoreRegained();
        if (snapshot->isAfterOutage)
            m_observer.onOutageReported();
        m_observer.onSnapshot(*snapshot);
        m_observer.onRead(startedAt);
        m_version = snapshot->version;
        m_isSynchronized = true;
        co_return Result<void>();
    }
    // After a failure the store is called without waiting, since a long poll could hang beyond the store's recovery.
    const auto wait = m_failures > 0 ? std::chrono::milliseconds(0) : m_options.longPollTime;
    auto changes = co_await m_feed.changes(m_options.table, m_version, wait, readTimeouts);
    if (!changes)
        co_return changes.error();
    if (m_failures > 0)
        m_observer.onStoreRegained();
    if (changes->isAfterOutage)
        m_observer.onOutageReported();
    m_version = std::max(m_version, changes->version);
    if (!changes->rows.empty())
        m_observer.onChanges(*changes);
    m_observer.onRead(startedAt);
    if (changes->rows.empty())
        co_return Result<void>();
    co_await waitFor(m_timer, m_changeBatchDelay);
    co_return Result<void>();
}

asio::awaitable<void> TableFollower::backOffAfterFailure()
{
    const auto delay = std::min(maxBackoff, initialBackoff * (1 << std::min(m_failures, 4U)));
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
    co_await waitFor(m_timer, std::chrono::milliseconds(jitter(m_random)));
}

} // namespace bulrushstack
