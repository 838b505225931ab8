#pragma once

#include "bulrushstack/net/client_buffers.h"
#include "bulrushstack/net/http.h"
#include "bulrushstack/net/unanswered_request.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace bulrushstack {

/// A request in progress and its response. The handler either calls respond() once, or beginStream(), then write() any
/// number of times, then endStream().
///
/// All methods must be called on the thread of the server's io_context. A write that is not completed within the write
/// timeout fails and closes the connection.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Returns whether the response was started with respond() or beginStream(), or the connection closed with close().
    virtual bool isStarted() const = 0;

    /// Checks without blocking whether the client has closed the connection.
    virtual bool isClientGone() = 0;

    /// Registers a function that is called once if the client closes the connection before this request is finished.
    /// The default implementation never calls it. A client that pipelines another request is not watched: the pending
    /// input hides the end of the connection.
    virtual void onClientGone(std::function<void()>) { }

    virtual boost::asio::awaitable<std::error_code> respond(HttpResponse response) = 0;

    /// Sends the header of a streamed response: chunked for HTTP/1.1, ended by closing the connection for HTTP/1.0.
    /// Until endStream() has been called, a connection of the latter kind ends with a reset.
    virtual boost::asio::awaitable<std::error_code> beginStream(unsigned status, HttpHeaders headers) = 0;

    /// Sends the data as one chunk. Empty data sends nothing, since an empty chunk would end the body.
    virtual boost::asio::awaitable<std::error_code> write(std::string_view data) = 0;

    /// Sends the last chunk. If a handler returns without calling it, the server closes the connection, which the
    /// client sees as an incomplete message.
    virtual boost::asio::awaitable<std::error_code> endStream() = 0;

    /// Closes the connection without a response, or without the rest of it. The default implementation does nothing.
    virtual void close() { }
};

/// Application code that responds to requests. If handle() throws or returns without a response, the server responds
/// with status 500.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    virtual boost::asio::awaitable<void> handle(HttpExchange& exchange) = 0;

    /// Returns the response that the server sends without calling handle(): to a request that cannot be parsed (400),
    /// is not complete in time (408), is too large (413, 431) or has an unsupported transfer coding (501), above the
    /// connection limit or without memory (503), and after handle() failed (500).
    virtual HttpResponse protocolError(unsigned status, std::string_view detail);

    /// Called for each connection that ends without a complete response to a request of which at least one byte was
    /// read. The default implementation logs it.
    virtual void onUnanswered(const UnansweredRequest& request);
};

struct HttpServerOptions {
    Address address;
    std::size_t headerLimit = 16 * 1024; ///< maximum size of request line and header fields, in bytes
    std::uint64_t bodyLimit = 8 * 1024 * 1024; ///< maximum size of a request body, in bytes
    std::size_t connectionLimit = 1024; ///< maximum number of open connections; further ones get status 503
    /// Maximum time to receive a complete request, from its first byte; one that takes longer gets status 408.
    std::chrono::nanoseconds readTimeout = std::chrono::seconds(10);
    /// Maximum time to write one chunk or one complete response; the connection is then closed.
    std::chrono::nanoseconds writeTimeout = std::chrono::seconds(10);
    /// Maximum time that a connection may wait for its first or next request; it is then closed.
    std::chrono::nanoseconds idleTimeout = std::chrono::seconds(60);
    /// Memory for requests and buffered responses of all connections; requests that do not fit get status 503.
    /// Unbounded if null.
    std::shared_ptr<ClientBuffers> buffers;
};

/// HTTP/1.1 server that listens on one address. All methods must be called on the thread of the io_context.
class HttpServer {
public:
    HttpServer(boost::asio::io_context& context, HttpServerOptions options, HttpHandler& handler);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds the address and starts accepting connections. Returns the system error if the address cannot be bound.
    std::error_code start();

    /// Returns the bound port, which differs from the configured one if that is 0.
    std::uint16_t port() const;

    /// Returns the number of requests that are being read or handled.
    std::size_t activeRequests() const;

    /// Adds "Connection: close" to all further responses but keeps accepting connections, for the time in which a load
    /// balancer still routes new connections to this server.
    void disableKeepAlive();

    /// Replaces all options except the address and the buffers. The new limits apply at the latest to requests whose
    /// reading starts after the call.
    void setLimits(const HttpServerOptions& limits);

    /// Stops accepting connections, closes connections on which no request has arrived, and completes when every
    /// request in progress has been read and handled. One that is not complete within 1 s gets status 503. Their
    /// responses carry "Connection: close".
    boost::asio::awaitable<void> drain();

    /// Returns whether drain() has ended all requests.
    bool isDrained() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bulrushstack
