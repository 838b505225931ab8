#pragma once

#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/http_client.h"
#include "bulrushstack/platform/http_platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// Request that the scripted server has received.
struct ReceivedRequest {
    int connection = 0; ///< number of the connection, counted from 1
    std::string line; ///< method and target
    std::string body;
};

/// Response of the scripted server to one request, or the fault in its place.
struct ScriptedResponse {
    enum class Kind {
        Respond,
        Close, ///< close the connection without a response
        NoResponse, ///< keep the connection open and send nothing
    };
    Kind kind = Kind::Respond;
    unsigned status = 200;
    std::string headers; ///< further header lines, each with its end
    std::string body;
    std::string delayedBody; ///< second part of the body, sent after the pause
    std::chrono::milliseconds pause {}; ///< time between the two parts of the body
    std::string unsentBody; ///< counted in Content-Length but not sent; the connection is closed instead
};

/// HTTP server on the loopback address whose response to each request is chosen by a script. It shares one io_context
/// with the client under test. The client has a manual clock, so that pooled connections do not expire on their own.
struct ScriptedServerFixture {
    using tcp = boost::asio::ip::tcp;

    ScriptedServerFixture()
    {
        address = { .host = "127.0.0.1", .port = acceptor.local_endpoint().port() };
        boost::asio::co_spawn(context, acceptLoop(), boost::asio::detached);
    }

    boost::asio::awaitable<void> acceptLoop()
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(co_await acceptor.async_accept(boost::asio::use_awaitable));
            sockets.push_back(socket);
            boost::asio::co_spawn(context, serve(socket, static_cast<int>(sockets.size())), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket, int connection)
    {
        std::string buf;
        for (;;) {
            const auto headerSize = co_await boost::asio::async_read_until(
                *socket, boost::asio::dynamic_buffer(buf), "\r\n\r\n", boost::asio::use_awaitable);
            const auto bodySize = contentLength(buf.substr(0, headerSize));
            if (buf.size() < headerSize + bodySize)
                co_await boost::asio::async_read(*socket, boost::asio::dynamic_buffer(buf),
                    boost::asio::transfer_exactly(headerSize + bodySize - buf.size()), boost::asio::use_awaitable);
            ReceivedRequest request;
            request.connection = connection;
            request.line = buf.substr(0, buf.find(" HTTP/1.1"));
            request.body = buf.substr(headerSize, bodySize);
            buf.erase(0, headerSize + bodySize);
            requests.push_back(request);
            const auto response = script(request);
            if (response.kind == ScriptedResponse::Kind::NoResponse)
                co_return;
            if (response.kind == ScriptedResponse::Kind::Close) {
                socket->close();
                co_return;
            }
            const auto text = "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Length: "
                + std::to_string(response.body.size() + response.delayedBody.size() + response.unsentBody.size())
                + "\r\n" + response.headers + "\r\n" + response.body;
            co_await boost::asio::async_write(*socket, boost::asio::buffer(text), boost::asio::use_awaitable);
            if (!response.delayedBody.empty()) {
                boost::asio::steady_timer timer(context, response.pause);
                co_await timer.async_wait(boost::asio::use_awaitable);
                co_await boost::asio::async_write(
                    *socket, boost::asio::buffer(response.delayedBody), boost::asio::use_awaitable);
            }
            if (!response.unsentBody.empty()) {
                socket->close();
                co_return;
            }
        }
    }

    static std::size_t contentLength(const std::string& header)
    {
        const std::string field = "Content-Length: ";
        const auto at = header.find(field);
        return at == std::string::npos ? 0 : std::stoul(header.substr(at + field.size()));
    }

    /// Makes the server respond to every request with the status and body.
    void respondWith(unsigned status, std::string body)
    {
        script = [status, body = std::move(body)](
                     const ReceivedRequest&) { return ScriptedResponse { .status = status, .body = body }; };
    }

    SteadyTime deadlineIn(std::chrono::milliseconds duration) const { return clock.now() + duration; }

    boost::asio::io_context context;
    ManualClock clock;
    tcp::acceptor acceptor { context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::vector<ReceivedRequest> requests;
    std::function<ScriptedResponse(const ReceivedRequest&)> script;
    HttpClient client { context, clock };
    Address address;
    SteadyTime noDeadline = SteadyTime::max();
};

} // namespace bulrushstack
