#pragma once

#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace bulrushstack {

/// Responds with the request body, and watches its client as the handlers of the daemon do. "/stream" sends three
/// chunks, "/cut" returns and "/abort" closes the exchange after the first of them,
/// "/slow" responds after 200 ms, "/slow-stream" ends its stream after 200 ms, "/long-field" with a header field that
/// cannot be sent, "/throw" throws an exception, and "/nothing" returns without a response.
class EchoHandler final : public HttpHandler {
public:
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        ++m_requests;
        exchange.onClientGone([] {});
        const auto path = exchange.request().path();
        if (path == "/throw")
            throw std::runtime_error("handler error");
        if (path == "/nothing")
            co_return;
        if (path == "/stream" || path == "/cut" || path == "/abort") {
            co_await exchange.beginStream(200, HttpHeaders());
            co_await exchange.write("one ");
            if (path == "/abort")
                exchange.close();
            if (path != "/stream")
                co_return;
            co_await exchange.write("two ");
            co_await exchange.write("three");
            co_await exchange.endStream();
            co_return;
        }
        const bool isSlowStream = path == "/slow-stream";
        if (isSlowStream)
            co_await exchange.beginStream(200, HttpHeaders());
        if (path == "/slow" || isSlowStream) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, std::chrono::milliseconds(200));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        if (isSlowStream) {
            co_await exchange.endStream();
            co_return;
        }
        auto response = jsonResponse(200, exchange.request().body);
        if (path == "/long-field")
            response.headers.set("X-Long", std::string(100'000, 'x'));
        co_await exchange.respond(std::move(response));
    }

    void onUnanswered(const UnansweredRequest& request) override { m_unanswered.push_back(request); }

    int requests() const { return m_requests; }
    const std::vector<UnansweredRequest>& unanswered() const { return m_unanswered; }

private:
    int m_requests = 0;
    std::vector<UnansweredRequest> m_unanswered;
};

/// Runs an HttpServer with EchoHandler on a free port of the loopback address and an HttpClient to call it.
struct ServerFixture {
    explicit ServerFixture(HttpServerOptions options = {})
        : server(context, withLoopback(std::move(options)), handler)
    {
        if (auto ec = server.start())
            throw std::system_error(ec);
        address = { .host = "127.0.0.1", .port = server.port() };
    }

    static HttpServerOptions withLoopback(HttpServerOptions options)
    {
        options.address = { .host = "127.0.0.1", .port = 0 };
        return options;
    }

    Result<HttpResponse> call(
        std::string method, std::string target, std::string body = {}, HttpCallOptions options = {})
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        return runAwaitable(context, client.call(address, std::move(request), options));
    }

    /// Sends the bytes on a new connection and returns all bytes received until the server closes it.
    std::string sendRaw(std::string data) { return runAwaitable(context, exchangeRaw(std::move(data))); }

    boost::asio::awaitable<std::string> exchangeRaw(std::string data)
    {
        namespace asio = boost::asio;
        asio::ip::tcp::socket socket(context);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        co_await socket.async_connect(endpoint, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(data), asio::use_awaitable);
        std::string out;
        boost::system::error_code ec;
        co_await asio::async_read(socket, asio::dynamic_buffer(out), asio::redirect_error(asio::use_awaitable, ec));
        wasReset = ec == asio::error::connection_reset;
        co_return out;
    }

    boost::asio::io_context context;
    SystemClock clock;
    EchoHandler handler;
    HttpServer server;
    HttpClient client { context, clock };
    Address address;
    bool wasReset = false; ///< whether the connection of the last exchangeRaw() ended with a reset
};

} // namespace bulrushstack
