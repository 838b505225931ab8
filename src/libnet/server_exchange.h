#pragma once

#include "bulrushstack/net/http_server.h"
#include "server_connection.h"

namespace bulrushstack::detail {

/// What an exchange takes over from the request message.
struct ReceivedRequest {
    HttpRequest request;
    unsigned version = 11; ///< HTTP version, 10 or 11
    bool isKeptAlive = false; ///< whether the client lets the connection be used for another request
};

/// A request on a connection of the server, and its response.
class ServerExchange final : public HttpExchange {
public:
    /// All references must outlive the exchange.
    ServerExchange(ServerConnection& connection, const HttpServerOptions& options, const bool& isKeepAliveDisabled,
        ReceivedRequest received);

    const HttpRequest& request() const override { return m_request; }
    bool isStarted() const override { return m_isStarted; }
    bool isClientGone() override { return isPeerClosed(m_connection.stream.socket()); }
    void onClientGone(std::function<void()> callback) override;
    asio::awaitable<std::error_code> respond(HttpResponse response) override;
    asio::awaitable<std::error_code> beginStream(unsigned status, HttpHeaders headers) override;
    asio::awaitable<std::error_code> write(std::string_view data) override;
    asio::awaitable<std::error_code> endStream() override;
    void close() override;

    /// Returns whether the connection can be used for another request.
    bool isReusable() const { return m_isComplete && m_isKeptAlive; }

    /// Returns whether the whole response was written.
    bool isComplete() const { return m_isComplete; }

    /// Returns why the response is not complete.
    UnansweredReason incompleteReason() const;

private:
    void beginWrite();
    beast::error_code endWrite(const beast::error_code& ec);
    template <typename Message> void prepare(Message& message, unsigned status, const HttpHeaders& headers);
    void setResetOnClose(bool isEnabled);

    ServerConnection& m_connection;
    const HttpServerOptions& m_options;
    const bool& m_isKeepAliveDisabled;
    HttpRequest m_request;
    unsigned m_version;
    bool m_isKeptAlive;
    bool m_isStarted = false;
    bool m_isChunked = false;
    bool m_isComplete = false;
    beast::error_code m_writeError;
};

} // namespace bulrushstack::detail
