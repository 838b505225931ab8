#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/serving/process_evidence.h"
#include "bulrushstack/serving/upstream_process.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>

namespace bulrushstack {

class ProcessMonitors;

/// Holds an idle connection to a process of an upstream while responses of it are read that end with their connections,
/// to tell the end of a response from that of the process. One connection serves all responses of the process.
///
/// Obtained from ProcessMonitors::watch(). Not thread-safe.
class ProcessMonitor {
public:
    /// Returns what the connection shows at the end of a response, of which this instance has heard at `responseEnd`.
    ProcessState stateAt(SteadyTime responseEnd);

    /// Returns the time for which the connection that is held has been idle; empty if none is held.
    std::optional<std::chrono::nanoseconds> idleTime() const;

private:
    friend class ProcessMonitors;

    explicit ProcessMonitor(const Clock& clock);
    void hold(std::unique_ptr<IdleConnection> connection);
    void recordEnd(IdleConnectionEnd end);
    void recordEndIfAny();
    void recordUnavailable(const Failure& failure);

    const Clock& m_clock;
    ProcessEvidence m_evidence;
    std::unique_ptr<IdleConnection> m_connection;
};

/// The processes of upstreams whose responses end with their connections. Lives as long as the event loop runs.
class ProcessMonitors {
public:
    ProcessMonitors(boost::asio::io_context& context, const Clock& clock, HttpClient& client);

    /// Begins to watch the process, or joins those who do. It is watched until the last of them has released the
    /// monitor.
    std::shared_ptr<ProcessMonitor> watch(const UpstreamProcess& process, const Address& address);

private:
    boost::asio::awaitable<void> run(std::weak_ptr<ProcessMonitor> monitor, UpstreamProcess process, Address address);
    std::chrono::nanoseconds idleLimit(const UpstreamProcess& process) const;
    void recordIdleLimit(const UpstreamProcess& process, std::chrono::nanoseconds limit);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    HttpClient& m_client;
    std::map<UpstreamProcess, std::weak_ptr<ProcessMonitor>> m_monitors;
    /// Idle times at which processes closed connections.
    std::map<UpstreamProcess, std::chrono::nanoseconds> m_idleLimits;
};

} // namespace bulrushstack
