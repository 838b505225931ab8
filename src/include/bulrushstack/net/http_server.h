#pragma once

#include "bulrushstack/net/http.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace bulrushstack {

/// One request being answered: either respond() once, or beginStream(), write() any number of times, endStream().
///
/// All methods run on the server's io_context. A write that the client does not take within the write timeout fails
/// and closes the connection.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Returns whether respond() or beginStream() was called.
    virtual bool isStarted() const = 0;

    /// Returns whether the client is known to have closed the connection; checked without blocking.
    virtual bool isClientGone() = 0;

    /// Calls the function once when the client closes the connection while the request is being answered. The default
    /// never calls it. A client that sends its next request early is no longer watched.
    virtual void onClientGone(std::function<void()>) { }

    virtual boost::asio::awaitable<std::error_code> respond(HttpResponse response) = 0;

    /// Sends the header of a chunked response.
    virtual boost::asio::awaitable<std::error_code> beginStream(unsigned status, HttpHeaders headers) = 0;

    /// Sends one chunk; empty data sends nothing.
    virtual boost::asio::awaitable<std::error_code> write(std::string_view data) = 0;

    /// Sends the final chunk. A stream that is not ended is cut by closing the connection, which the client sees as
    /// an incomplete message.
    virtual boost::asio::awaitable<std::error_code> endStream() = 0;

    /// Closes the connection without an answer or without the rest of it. The default does nothing.
    virtual void close() { }
};

/// Answers requests. An exception, or a return without an answer, gives the client status 500.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    virtual boost::asio::awaitable<void> handle(HttpExchange& exchange) = 0;

    /// Returns the answer to a request that could not be read (400, 413, 431) or was refused for lack of
    /// connections (503).
    virtual HttpResponse protocolError(unsigned status, std::string_view detail);
};

struct HttpServerOptions {
    Address address;
    std::size_t headerLimit = 16 * 1024; ///< bytes
    std::uint64_t bodyLimit = 8 * 1024 * 1024; ///< bytes
    std::size_t connectionLimit = 1024;
    std::chrono::nanoseconds readTimeout
        = std::chrono::seconds(10); ///< for a whole request, from its first byte; then the connection is closed
    std::chrono::nanoseconds writeTimeout = std::chrono::seconds(10); ///< for one chunk or response
    std::chrono::nanoseconds idleTimeout = std::chrono::seconds(60); ///< between requests of a kept-alive connection
};

/// HTTP/1.1 server on one address. All methods run on the thread of the io_context.
class HttpServer {
public:
    HttpServer(boost::asio::io_context& context, HttpServerOptions options, HttpHandler& handler);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and begins to accept. Returns the error of the operating system if the address cannot be bound.
    std::error_code start();

    /// Returns the bound port; useful when the address asked for port 0.
    std::uint16_t port() const;

    /// Returns how many requests are being answered.
    std::size_t activeRequests() const;

    /// Answers with "Connection: close" from now on, but goes on accepting, for a load balancer that still sends
    /// connections.
    void disableKeepAlive();

    /// Replaces the limits for requests that begin to be read after the call; the address stays.
    void setLimits(const HttpServerOptions& limits);

    /// Stops accepting, answers what is in flight with "Connection: close", and completes when no request is being
    /// answered any more. Connections without a request are closed at once.
    boost::asio::awaitable<void> drain();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bulrushstack
