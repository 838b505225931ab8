#pragma once

#include "bulrushstack/kernel/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace bulrushstack {

/// How RawServer sends its responses.
struct RawServerPace {
    std::size_t pieceSize = SIZE_MAX; ///< bytes that are sent at once
    std::chrono::milliseconds pause {}; ///< time between two pieces
};

/// Test server that responds to each request with the next of the given byte strings, unmodified, and closes the
/// connection after the last one if `closesAfterLastResponse` is set. It takes the result of one read as one request,
/// which suffices for small requests on loopback. `responsesPerConnection` limits the responses that are sent on one
/// connection.
class RawServer {
public:
    RawServer(boost::asio::io_context& context, std::vector<std::string> responses,
        bool closesAfterLastResponse = false, std::size_t responsesPerConnection = SIZE_MAX, RawServerPace pace = {})
        : m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_responses(std::move(responses))
        , m_closesAfterLastResponse(closesAfterLastResponse)
        , m_responsesPerConnection(responsesPerConnection)
        , m_pace(pace)
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Address address() const { return { .host = "127.0.0.1", .port = m_acceptor.local_endpoint().port() }; }

    /// Returns the bytes received with each request, in order.
    const std::vector<std::string>& received() const { return m_received; }

    unsigned connections() const { return m_connections; }

    /// Closes the listening socket; open connections stay open.
    void stopListening() { m_acceptor.close(); }

    /// The same, as soon as it has accepted its first connection.
    void stopListeningAfterFirstConnection() { m_acceptsOneConnection = true; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            boost::system::error_code ec;
            Socket socket
                = co_await m_acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            if (ec)
                co_return;
            ++m_connections;
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
            if (m_acceptsOneConnection)
                stopListening();
        }
    }

    boost::asio::awaitable<void> serve(Socket socket)
    {
        std::string buf(65536, '\0');
        for (std::size_t i = 0; i < m_responsesPerConnection && m_next < m_responses.size(); ++i) {
            boost::system::error_code ec;
            auto token = boost::asio::redirect_error(boost::asio::use_awaitable, ec);
            const auto n = co_await socket.async_read_some(boost::asio::buffer(buf), token);
            if (ec)
                co_return;
            m_received.push_back(buf.substr(0, n));
            const std::string response = m_responses[m_next++];
            for (std::size_t sent = 0; sent < response.size() && !ec; sent += m_pace.pieceSize) {
                const auto piece = response.substr(sent, m_pace.pieceSize);
                co_await boost::asio::async_write(socket, boost::asio::buffer(piece), token);
                if (sent + piece.size() == response.size())
                    break;
                boost::asio::steady_timer timer(m_acceptor.get_executor(), m_pace.pause);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
        }
        if (m_closesAfterLastResponse)
            co_return;
        m_openSockets.push_back(std::move(socket));
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_responses;
    bool m_closesAfterLastResponse;
    bool m_acceptsOneConnection = false;
    std::size_t m_responsesPerConnection;
    RawServerPace m_pace;
    std::size_t m_next = 0;
    std::vector<std::string> m_received;
    std::vector<Socket> m_openSockets;
    unsigned m_connections = 0;
};

} // namespace bulrushstack
