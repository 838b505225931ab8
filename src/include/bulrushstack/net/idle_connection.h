#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/settings.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace bulrushstack {

namespace detail {
class ConnectionPool;
struct ClientConnection;
struct IdleWatch;
} // namespace detail

/// How a connection that carried nothing came to its end.
enum class IdleConnectionEnd {
    Closed, ///< by the server or its operating system, in order
    Reset, ///< by the server, its operating system or the network
    Overdue, ///< not ended, but idle for long enough to be replaced
};

/// An established connection to a server that carries no request while this object exists, obtained from
/// HttpClient::holdIdleConnection().
///
/// The operating system ends the connections of a process when the process ends, all at once, and keeps them until
/// then, whether or not anybody listens at the address. So the end of this connection tells that of the process:
///
///     auto connection = co_await client.holdIdleConnection(address);
///     if (connection) {
///         const auto end = co_await (*connection)->waitForEnd();
///         ...
///     }
///
/// The connection becomes available to requests again when the object is destroyed. Not thread-safe.
class IdleConnection {
public:
    IdleConnection(std::shared_ptr<detail::ConnectionPool> pool, Address address,
        std::shared_ptr<detail::ClientConnection> connection);
    ~IdleConnection();

    IdleConnection(const IdleConnection&) = delete;
    IdleConnection& operator=(const IdleConnection&) = delete;

    /// Completes when the connection has ended, when it has been idle for `replaceAfter`, and when the object is
    /// destroyed. May outlive the object. Only one call at a time.
    boost::asio::awaitable<IdleConnectionEnd> waitForEnd(
        std::chrono::nanoseconds replaceAfter = std::chrono::nanoseconds::max());

    /// Returns how the connection has ended, as far as this host has heard; empty if it is open. Does not block.
    std::optional<IdleConnectionEnd> end() const;

    /// Returns whether the server has responded on the connection before, so that it has accepted it.
    bool isAccepted() const;

    /// Returns the time for which the connection has carried nothing.
    std::chrono::nanoseconds idleTime() const;

    /// Returns the idle time after which the server closes the connection, as far as it said so.
    std::chrono::nanoseconds idleLimit() const;

private:
    std::shared_ptr<detail::ConnectionPool> m_pool;
    Address m_address;
    std::shared_ptr<detail::ClientConnection> m_connection;
    std::shared_ptr<detail::IdleWatch> m_watch;
};

} // namespace bulrushstack
