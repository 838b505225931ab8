#include "process_monitor.h"

#include "bulrushstack/kernel/tasks.h"
#include <algorithm>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds connectTimeout { 200 };
/// Time after the end of an idle connection by which a process that ended no longer listens.
constexpr std::chrono::milliseconds reconnectDelay { 20 };
/// Maximum idle time of a connection that is taken from the pool. Upstreams may close those that are idle for longer.
constexpr std::chrono::seconds maxIdleTime { 2 };
/// Idle time after which an upstream is expected to close connections as long as it has not closed any.
constexpr std::chrono::minutes defaultIdleLimit { 2 };
/// A connection that ends after less than this idle time was not closed for its idle time.
constexpr std::chrono::seconds minIdleLimit { 2 };
/// Number of such connections after which no other one is established, since the upstream may have no room for them.
constexpr unsigned shortLivedLimit = 3;
constexpr auto neverReplaced = std::chrono::nanoseconds::max();
/// Processes whose idle limits are remembered.
constexpr std::size_t idleLimitCount = 1024;

} // namespace

ProcessMonitor::ProcessMonitor(const Clock& clock)
    : m_clock(clock)
{
}

ProcessState ProcessMonitor::stateAt(SteadyTime responseEnd)
{
    recordEndIfAny();
    return m_evidence.stateAt(responseEnd);
}

std::optional<std::chrono::nanoseconds> ProcessMonitor::idleTime() const
{
    if (!m_connection)
        return std::nullopt;
    return m_connection->idleTime();
}

/// Replaces the connection that is held, if any.
void ProcessMonitor::hold(std::unique_ptr<IdleConnection> connection)
{
    recordEndIfAny();
    m_connection = std::move(connection);
    m_evidence.recordOpen(m_clock.now(), m_connection->isAccepted());
}

/// Records the end of the connection before its coroutine runs.
void ProcessMonitor::recordEndIfAny()
{
    const auto end = m_connection ? m_connection->end() : std::nullopt;
    if (end)
        recordEnd(*end);
}

/// Records that no connection could be established. One that was to be replaced stays.
void ProcessMonitor::recordUnavailable(const Failure& failure)
{
    recordEndIfAny();
    if (!m_connection && failure.code == std::errc::connection_refused)
        m_evidence.recordRefused();
}

void ProcessMonitor::recordEnd(IdleConnectionEnd end)
{
    if (!m_connection)
        return;
    m_connection.reset();
    if (end == IdleConnectionEnd::Closed)
        m_evidence.recordClosed(m_clock.now());
    else
        m_evidence.recordLost();
}

ProcessMonitors::ProcessMonitors(asio::io_context& context, const Clock& clock, HttpClient& client)
    : m_context(context)
    , m_clock(clock)
    , m_client(client)
{
}

std::shared_ptr<ProcessMonitor> ProcessMonitors::watch(const UpstreamProcess& process, const Address& address)
{
    if (const auto it = m_monitors.find(process); it != m_monitors.end()) {
        if (auto monitor = it->second.lock())
            return monitor;
    }
    std::erase_if(m_monitors, [](const auto& it) { return it.second.expired(); });
    std::shared_ptr<ProcessMonitor> monitor(new ProcessMonitor(m_clock));
    m_monitors[process] = monitor;
    spawnLogged(m_context, run(monitor, process, address), "process-monitor");
    return monitor;
}

/// Holds one connection after the other, each until it has been idle for half of the time after which the upstream
/// closes connections, so that such an end does not fall into the moment in which a response ends.
asio::awaitable<void> ProcessMonitors::run(std::weak_ptr<ProcessMonitor> weak, UpstreamProcess process, Address address)
{
    for (unsigned shortLived = 0; shortLived < shortLivedLimit;) {
        const auto replaceAfter = idleLimit(process) / 2;
        auto connection = co_await m_client.holdIdleConnection(
            address, connectTimeout, std::min<std::chrono::nanoseconds>(replaceAfter / 2, maxIdleTime));
        auto monitor = weak.lock();
        if (!monitor)
            co_return;
        if (connection)
            monitor->hold(std::move(*connection));
        else
            monitor->recordUnavailable(connection.error());
        if (!monitor->m_connection)
            co_return;
        // One that could not be replaced is kept until it ends.
        const auto limit = connection ? std::min(replaceAfter, monitor->m_connection->idleLimit()) : neverReplaced;
        auto ended = monitor->m_connection->waitForEnd(limit);
        monitor.reset();
        const auto end = co_await std::move(ended);
        monitor = weak.lock();
        if (!monitor)
            co_return;
        if (end == IdleConnectionEnd::Overdue)
            continue;
        const auto idleTime = monitor->idleTime().value_or(std::chrono::nanoseconds(0));
        if (idleTime < minIdleLimit)
            ++shortLived;
        else if (end == IdleConnectionEnd::Closed)
            recordIdleLimit(process, idleTime);
        monitor->recordEnd(end);
        monitor.reset();
        co_await sleepFor(m_context, reconnectDelay);
    }
}

std::chrono::nanoseconds ProcessMonitors::idleLimit(const UpstreamProcess& process) const
{
    const auto it = m_idleLimits.find(process);
    return it == m_idleLimits.end() ? std::chrono::nanoseconds(defaultIdleLimit) : it->second;
}

void ProcessMonitors::recordIdleLimit(const UpstreamProcess& process, std::chrono::nanoseconds limit)
{
    if (m_idleLimits.size() >= idleLimitCount)
        m_idleLimits.clear();
    m_idleLimits[process] = limit;
}

} // namespace bulrushstack
