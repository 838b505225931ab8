#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/net/buffer_budget.h"
#include "bulrushstack/net/http.h"
#include "bulrushstack/net/idle_connection.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace bulrushstack {

/// Lets another coroutine abort an HttpClient call at any point. One object can be used for several calls in sequence,
/// but not for concurrent calls. Not thread-safe; use it on the thread of the client's io_context.
class HttpCancellation {
public:
    /// Closes the connection of the call in progress, so that the call fails. Calls started later fail immediately with
    /// Errc::Cancelled and send nothing.
    void cancel();

    bool isCancelled() const { return m_isCancelled; }

    /// Sets the function that cancel() calls to close the connection of the call in progress. For use by HttpClient
    /// only.
    void setCloseCallback(std::function<void()> close) { m_closeCallback = std::move(close); }

private:
    std::function<void()> m_closeCallback;
    bool m_isCancelled = false;
};

struct HttpCallOptions {
    /// Time at which the call fails with Errc::Timeout, however far it has progressed.
    SteadyTime deadline = SteadyTime::max();

    /// Whether a response that had arrived by the deadline, while the event loop was late, is read after it. Not for
    /// calls whose result counts as current: it would be older than the deadline permits.
    bool isLateResponseRead = false;

    /// Reading of Clock::bootNow() from which on the request is no longer sent: the call then fails with Errc::Timeout
    /// and Verdict::NotRun. For requests whose permission ends, also if the process or its machine is suspended while
    /// the connection is being established.
    std::optional<SteadyTime> sendBy;

    /// Time by which the complete response header must have arrived; `progressTimeout` then applies to the body only.
    /// Intended for long polling, where the server delays the response until an event occurs and then sends a long
    /// body.
    std::optional<SteadyTime> headerDeadline;

    /// Maximum time without receiving data while waiting for the header or for the next part of the body. Zero means
    /// that only the deadline applies.
    std::chrono::nanoseconds progressTimeout {};

    /// Maximum time that a pooled connection may have been idle for the call to reuse it. Zero always opens a new
    /// connection.
    std::chrono::nanoseconds maxIdle = std::chrono::seconds(30);

    /// Sends the request only on a pooled connection that was established before this time; without one the call fails
    /// with Errc::Unavailable and Verdict::NotRun. Such a connection leads to a process that was running then.
    std::optional<SteadyTime> establishedBefore;

    /// Maximum time to establish a new TCP connection. Zero applies `progressTimeout` and the deadline.
    std::chrono::nanoseconds connectTimeout {};

    /// Accepts a response with neither Content-Length nor chunked coding, whose body ends when the server closes the
    /// connection (RFC 9112, section 6.3). Otherwise such a response fails with Errc::Malformed.
    bool isCloseDelimitedBodyAccepted = false;

    /// Time without TCP acknowledgements after which the connection fails, also while it is idle (TCP keep-alive probes
    /// and TCP_USER_TIMEOUT). Set when a connection is established. Zero keeps the limits of the operating system. The
    /// peer's kernel answers the probes, so that they cost no HTTP request.
    std::chrono::milliseconds tcpKeepAliveTimeout {};

    /// Aborts the call when HttpCancellation::cancel() is called on it. Null means that the call cannot be cancelled.
    std::shared_ptr<HttpCancellation> cancellation;

    /// Maximum size in bytes of the body that call() and readAll() accept; a longer one fails with Errc::TooLarge.
    std::uint64_t bodyLimit = 64 * 1024 * 1024;

    /// Bounds the bodies that several calls read with call() and readAll() at the same time; a body without room fails
    /// with Errc::TooLarge. Null means that only `bodyLimit` applies.
    std::shared_ptr<BufferBudget> bufferBudget;
};

/// How the end of a response body is recognised (RFC 9112, section 6.3).
enum class BodyFraming {
    ContentLength, ///< the length is known in advance, including responses without a body
    Chunked, ///< the last chunk marks the end
    CloseDelimited, ///< the body ends with its connection, so that a truncated body may look complete
};

std::string_view toString(BodyFraming framing);

/// The connection on which a response arrives.
struct HttpConnectionInfo {
    std::uint64_t number = 0; ///< identifies the connection among all of its client
    unsigned requests = 0; ///< number of requests sent on it, including that of the response
    SteadyTime establishedAt {};

    /// Returns whether the request was the first one, so that no response to an earlier request can take the place of
    /// its own.
    bool isNew() const { return requests == 1; }

    friend bool operator==(const HttpConnectionInfo&, const HttpConnectionInfo&) = default;
};

/// A response whose body is read incrementally. Destroying it before the end of the body closes the connection.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    virtual unsigned status() const = 0;
    virtual const HttpHeaders& headers() const = 0;
    virtual BodyFraming framing() const = 0;

    virtual const HttpConnectionInfo& connection() const = 0;

    /// Returns the next part of the body, or an empty optional once the body is complete. A connection that closes
    /// before the end given by Content-Length or by the last chunk is a failure. Every failure has the verdict
    /// MayHaveRun.
    virtual boost::asio::awaitable<Result<std::optional<std::string>>> read() = 0;

    /// Discards the rest of this response and reads the header of the following response on the same connection. Used
    /// when this response turns out to belong to an earlier request. Fails if the connection ends with this response.
    virtual boost::asio::awaitable<Result<void>> nextResponse() = 0;

    /// Reads the rest of the body. Fails with Errc::TooLarge if it exceeds HttpCallOptions::bodyLimit.
    virtual boost::asio::awaitable<Result<std::string>> readAll() = 0;

    /// Closes the connection, which makes a pending read fail. May be called from another coroutine on the same thread.
    virtual void close() = 0;
};

/// Connections of an HttpClient.
struct HttpConnectionCounts {
    std::size_t open = 0; ///< connections that are in use, idle or being established
    std::size_t idle = 0; ///< connections that can be reused
    std::uint64_t evicted = 0; ///< idle connections that were closed since the start
    std::uint64_t unsolicited = 0; ///< those of them on which the server had sent bytes without a request

    friend bool operator==(const HttpConnectionCounts&, const HttpConnectionCounts&) = default;
};

/// HTTP/1.1 client with a pool of persistent connections per address.
///
/// A failure has the verdict NotRun if no byte of the request was written to a socket, and MayHaveRun otherwise. The
/// client never retries a request.
///
/// A connection carries each HttpRequest::id once at most. A server may send a response again later; on a connection
/// that has carried the id before, such a copy could not be told from the response to a later request.
///
/// All methods must be called on the thread of the io_context.
class HttpClient {
public:
    HttpClient(boost::asio::io_context& context, const Clock& clock);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends the request and reads the complete response. Every HTTP status, including 4xx and 5xx, counts as success.
    boost::asio::awaitable<Result<HttpResponse>> call(
        Address address, HttpRequest request, HttpCallOptions options = {});

    /// Sends the request and reads the response header; the caller reads the body from the returned stream.
    boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(
        Address address, HttpRequest request, HttpCallOptions options = {});

    /// Returns whether a TCP connection to the address can be established within `timeout`. Sends no request.
    boost::asio::awaitable<bool> isListening(Address address, std::chrono::nanoseconds timeout);

    /// Takes a connection to the address that has been idle for less than `maxIdle`, or establishes one within
    /// `timeout`, and keeps requests from it. Fails with Verdict::NotRun if none can be established, with the code
    /// std::errc::connection_refused if nothing listens at the address. Sends nothing.
    boost::asio::awaitable<Result<std::unique_ptr<IdleConnection>>> holdIdleConnection(
        Address address, std::chrono::nanoseconds timeout, std::chrono::nanoseconds maxIdle = std::chrono::seconds(2));

    /// Closes every idle connection to the address. Called after a timeout: if one connection stopped responding, the
    /// others probably did too.
    void closeIdleConnections(const Address& address);

    /// Returns whether a call with HttpCallOptions::establishedBefore could use an idle connection to the address for a
    /// request with this id.
    bool hasIdleConnection(const Address& address, SteadyTime establishedBefore, std::string_view requestId = {}) const;

    HttpConnectionCounts connectionCounts() const;

private:
    std::shared_ptr<detail::ConnectionPool> m_pool;
};

} // namespace bulrushstack
