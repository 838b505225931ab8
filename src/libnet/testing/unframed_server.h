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
#include <memory>
#include <string>
#include <vector>

namespace bulrushstack {

/// Test server whose responses have neither a length nor chunks. It begins each at once and ends all when a test says
/// so. It takes the result of one read as one request, which suffices for small requests on loopback.
class UnframedServer {
public:
    /// `begin` is sent to each request: the head and the first part of the body.
    UnframedServer(boost::asio::io_context& context, std::string begin)
        : m_context(context)
        , m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_begin(std::move(begin))
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Address address() const { return { .host = "127.0.0.1", .port = m_port }; }

    std::size_t responsesInProgress() const { return m_inProgress.size(); }
    unsigned connections() const { return m_connections; }

    /// Sends the rest of all responses, and ends each with its connection.
    boost::asio::awaitable<void> endResponses(std::string rest, std::chrono::milliseconds interval)
    {
        boost::asio::steady_timer timer(m_context);
        for (const auto& it : std::exchange(m_inProgress, {})) {
            boost::system::error_code ec;
            boost::asio::write(*it, boost::asio::buffer(rest), ec);
            it->close(ec);
            if (interval.count() == 0)
                continue;
            timer.expires_after(interval);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    /// Closes the listening socket; open connections stay open.
    void stopListening() { m_acceptor.close(); }

    /// Closes the connections on which no response is in progress.
    void closeIdle() { closeAll(m_idle); }

    /// Ends all connections in order, as the operating system does for a process that is killed.
    void kill()
    {
        m_acceptor.close();
        closeAll(m_inProgress);
        closeAll(m_idle);
    }

private:
    using SocketPtr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    static void closeAll(std::vector<SocketPtr>& sockets)
    {
        for (const auto& it : std::exchange(sockets, {}))
            it->close();
    }

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            boost::system::error_code ec;
            auto socket = co_await m_acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            if (ec)
                co_return;
            ++m_connections;
            m_idle.push_back(std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket)));
            boost::asio::co_spawn(m_context, serve(m_idle.back()), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(SocketPtr socket)
    {
        std::string buf(65536, '\0');
        boost::system::error_code ec;
        auto token = boost::asio::redirect_error(boost::asio::use_awaitable, ec);
        co_await socket->async_read_some(boost::asio::buffer(buf), token);
        std::erase(m_idle, socket);
        if (ec)
            co_return;
        m_inProgress.push_back(socket);
        co_await boost::asio::async_write(*socket, boost::asio::buffer(m_begin), token);
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    unsigned short m_port = m_acceptor.local_endpoint().port();
    std::string m_begin;
    std::vector<SocketPtr> m_idle;
    std::vector<SocketPtr> m_inProgress;
    unsigned m_connections = 0;
};

} // namespace bulrushstack
