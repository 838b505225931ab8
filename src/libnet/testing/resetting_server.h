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

namespace bulrushstack {

/// Test server that reads the beginning of a request, responds to it, and resets the connection. Its receive buffer is
/// small, so that a long request is still being written when the reset comes.
class ResettingServer {
public:
    struct Options {
        std::string response;
        std::chrono::milliseconds pause {}; ///< time from the response to the end of the connection
        /// Reads the rest of the request, and ends the connection in order.
        bool readsWholeRequest = false;
        /// Time for which the server neither sends nor reads any more before it resets the connection.
        std::chrono::milliseconds halfClosePause {};
    };

    ResettingServer(boost::asio::io_context& context, Options options)
        : m_acceptor(context)
        , m_options(std::move(options))
    {
        const Endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferSize));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Address address() const { return { .host = "127.0.0.1", .port = m_acceptor.local_endpoint().port() }; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Endpoint = boost::asio::ip::tcp::endpoint;

    static constexpr int receiveBufferSize = 4096; // bytes
    static constexpr std::size_t readSize = 4096; // bytes
    static constexpr std::chrono::milliseconds readTimeout { 200 }; // without input the request has been read

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            boost::system::error_code ec;
            Socket socket
                = co_await m_acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            if (ec)
                co_return;
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Socket socket)
    {
        std::string buf(readSize, '\0');
        boost::system::error_code ec;
        auto token = boost::asio::redirect_error(boost::asio::use_awaitable, ec);
        co_await socket.async_read_some(boost::asio::buffer(buf), token);
        co_await boost::asio::async_write(socket, boost::asio::buffer(m_options.response), token);
        co_await wait(m_options.pause);
        if (m_options.halfClosePause.count() > 0) {
            socket.shutdown(Socket::shutdown_send, ec);
            co_await wait(m_options.halfClosePause);
        }
        if (m_options.readsWholeRequest)
            co_await readRest(socket);
        else
            socket.set_option(boost::asio::socket_base::linger(true, 0)); // makes close() reset the connection
        socket.close();
    }

    boost::asio::awaitable<void> wait(std::chrono::milliseconds duration)
    {
        boost::asio::steady_timer timer(m_acceptor.get_executor(), duration);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    boost::asio::awaitable<void> readRest(Socket& socket)
    {
        std::string buf(65536, '\0');
        boost::system::error_code ec;
        while (!ec) {
            boost::asio::steady_timer timer(m_acceptor.get_executor(), readTimeout);
            timer.async_wait([&socket](boost::system::error_code waitError) {
                if (!waitError)
                    socket.cancel();
            });
            co_await socket.async_read_some(
                boost::asio::buffer(buf), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Options m_options;
};

} // namespace bulrushstack
