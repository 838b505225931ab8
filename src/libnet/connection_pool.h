#pragma once

#include "background_send.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/net/http_client.h"
#include "http_beast.h"
#include "sent_request_ids.h"
#include "socket_deadline.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace bulrushstack::detail {

struct ClientConnection {
    /// Maximum number of bytes buffered for an incomplete header, chunk header or trailer.
    static constexpr std::size_t bufferLimit = 256 * 1024;

    ClientConnection(asio::io_context& context, std::shared_ptr<std::size_t> connectionCount);
    ~ClientConnection();

    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    beast::tcp_stream stream;
    SocketDeadline deadline { stream.socket() }; ///< of the operation in progress
    beast::flat_buffer buffer;
    HttpConnectionInfo info;
    SentRequestIds sentIds;
    SteadyTime idleSince {};
    std::chrono::nanoseconds idleLimit = std::chrono::nanoseconds::max(); ///< from the server's Keep-Alive header
    BackgroundSend backgroundSend;
    bool hasUnsolicitedInput = false; ///< whether bytes arrived that no request had asked for

private:
    std::shared_ptr<std::size_t> m_connectionCount;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// Idle connections by address; those released last are at the end and are reused first.
///
/// The number of idle connections is bounded, for each address and in all. Connections that the server has closed, and
/// those that have been idle for long, are closed while others are released, whatever their address: a server that is
/// gone is never asked for again.
class ConnectionPool {
public:
    ConnectionPool(asio::io_context& context, const Clock& clock);

    asio::io_context& context() { return m_context; }
    SteadyTime now() const { return m_clock.now(); }

    /// Returns a connection that is not established yet.
    ClientConnectionPtr create();

    /// Removes and returns a usable connection that satisfies HttpCallOptions::maxIdle and ::establishedBefore and has
    /// not carried the id; null if there is none.
    ClientConnectionPtr acquire(const Address& address, const HttpCallOptions& options, std::string_view requestId);

    /// Returns whether a usable connection to the address was established before that time and has not carried the id.
    bool hasIdle(const Address& address, SteadyTime establishedBefore, std::string_view requestId) const;

    void release(const Address& address, ClientConnectionPtr connection);

    /// Removes and returns the usable connection to the address that has been idle for longest, but for less than
    /// `maxIdle` and half of what the server permits; null if there is none.
    ClientConnectionPtr takeLongestIdle(const Address& address, std::chrono::nanoseconds maxIdle);

    /// Adds a connection that has carried nothing since it was created or taken by takeLongestIdle(), if it is usable.
    void putBack(const Address& address, ClientConnectionPtr connection);

    void closeIdle(const Address& address);
    void closeAllIdle();

    /// Closes all idle connections and keeps none from now on. Called when the client is destroyed, which connections
    /// in coroutines of its io_context may outlive.
    void shutDown();

    HttpConnectionCounts counts() const;

    /// Returns whether a request may still be sent; see HttpCallOptions::sendBy.
    bool maySend(const HttpCallOptions& options) const;

    /// Returns the time that an operation of the call may take from now on; zero or less if its deadline has passed.
    std::chrono::nanoseconds operationTimeout(const HttpCallOptions& options) const;

    /// Sets the deadline of the next operation on the connection from the deadline of the call and the progress
    /// timeout. Returns false if the deadline of the call has passed.
    bool setOperationTimeout(ClientConnection& connection, const HttpCallOptions& options) const;

private:
    using IdleConnections = std::map<Address, std::vector<ClientConnectionPtr>>;

    bool isReusable(ClientConnection& connection) const;
    void add(const Address& address, ClientConnectionPtr connection);
    void recordUnsolicited(ClientConnection& connection);
    void closeUnusable();
    void closeLongestIdle();
    void recordEvicted(std::size_t count);

    asio::io_context& m_context;
    const Clock& m_clock;
    IdleConnections m_idle;
    std::size_t m_idleCount = 0;
    bool m_isShutDown = false;
    std::uint64_t m_evicted = 0;
    std::uint64_t m_unsolicited = 0;
    std::uint64_t m_lastNumber = 0; ///< number of the connection that was created last
    SteadyTime m_checkedAt {}; ///< time of the last closeUnusable()
    std::shared_ptr<std::size_t> m_connectionCount = std::make_shared<std::size_t>(0);
};

/// Returns the time that a connection may stay idle according to the "timeout" parameter of the Keep-Alive header. The
/// result is shorter by a margin, since a request sent at the moment when the server closes the connection may be lost.
std::chrono::nanoseconds advertisedIdleLimit(const HttpHeaders& headers);

/// Enables TCP keep-alive probes and TCP_USER_TIMEOUT, so that a connection whose peer no longer acknowledges data
/// fails within about the given time.
void setTcpKeepAliveTimeout(asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

} // namespace bulrushstack::detail
