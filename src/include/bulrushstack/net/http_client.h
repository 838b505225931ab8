#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/net/http.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace bulrushstack {

namespace detail {
class ConnectionPool;
}

/// Ends a call from outside, at whatever point it is. One object serves any number of calls, one after the other.
class HttpCancellation {
public:
    /// Closes the connection of the call under way; later calls fail at once with Errc::Cancelled.
    void cancel();

    bool isCancelled() const { return m_isCancelled; }

    /// Sets what closes the connection of the call under way; used by HttpClient.
    void setCloseCallback(std::function<void()> close) { m_closeCallback = std::move(close); }

private:
    std::function<void()> m_closeCallback;
    bool m_isCancelled = false;
};

struct HttpCallOptions {
    /// Point in time at which the whole call fails with Errc::Timeout.
    SteadyTime deadline = SteadyTime::max();

    /// Point in time by which the response header must have arrived; `progressTimeout` then holds for the body only.
    /// For calls that wait for an event at the other end and are answered with a long body.
    std::optional<SteadyTime> headerDeadline;

    /// Longest silence while waiting for the header or for the next part of the body; zero: no limit but the deadline.
    std::chrono::nanoseconds progressTimeout {};

    /// Longest idle time of a pooled connection that the call may use; zero: always a new connection.
    std::chrono::nanoseconds maxIdle = std::chrono::seconds(30);

    /// Longest time to establish a new connection; zero: no limit but the deadline.
    std::chrono::nanoseconds connectTimeout {};

    /// Accepts a response without a marked length, which ends when the other end closes the connection in order.
    bool isCloseDelimitedBodyAccepted = false;

    /// Makes a connection fail that has not been acknowledged for this time, also while it is idle; zero: only the
    /// limits of the operating system. Probes are answered by the other end's kernel and cost no request.
    std::chrono::milliseconds tcpKeepAliveTimeout {};

    /// Ends the call when it is cancelled; null: the call cannot be cancelled.
    std::shared_ptr<HttpCancellation> cancellation;

    /// Largest body that call() accepts, in bytes.
    std::uint64_t bodyLimit = 64 * 1024 * 1024;
};

/// A response whose body is read in parts. Destroying it before the end closes the connection.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    virtual unsigned status() const = 0;
    virtual const HttpHeaders& headers() const = 0;

    /// Returns the next part of the body, or an empty optional at the marked end of the body. A connection that
    /// closes before the marked end is a failure. Every failure has the verdict MayHaveRun.
    virtual boost::asio::awaitable<Result<std::optional<std::string>>> read() = 0;

    /// Discards this response and reads the header of the one behind it on the same connection. For a response that
    /// belongs to an earlier request.
    virtual boost::asio::awaitable<Result<void>> nextResponse() = 0;

    /// Reads the rest of the body, up to the limit of the options.
    virtual boost::asio::awaitable<Result<std::string>> readAll() = 0;

    /// Closes the connection so that a pending read fails; may be called from another coroutine.
    virtual void close() = 0;
};

/// HTTP/1.1 client with one pool of kept-alive connections for each address.
///
/// The verdict of a failure is NotRun as long as no byte of the request was handed to a socket, else MayHaveRun. The
/// client never sends a request twice. All methods run on the thread of the io_context.
class HttpClient {
public:
    HttpClient(boost::asio::io_context& context, const Clock& clock);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends the request and reads the whole response. A status of any value is a success.
    boost::asio::awaitable<Result<HttpResponse>> call(
        Address address, HttpRequest request, HttpCallOptions options = {});

    /// Sends the request and reads the response header.
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(
        Address address, HttpRequest request, HttpCallOptions options = {});

    /// Returns whether something accepts connections at the address; nothing is sent.
    boost::asio::awaitable<bool> isListening(Address address, std::chrono::nanoseconds timeout);

    /// Closes every idle connection to the address, since one that went silent suggests that all of them did.
    void closeIdleConnections(const Address& address);

private:
    std::shared_ptr<detail::ConnectionPool> m_pool;
};

} // namespace bulrushstack
