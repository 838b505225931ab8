#pragma once

#include "bulrushstack/kernel/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace bulrushstack {

/// Test server that refuses the first requests and runs the others. Once it has read the request that follows a refusal
/// on the same connection, it sends the refusal again before it responds. It takes the result of one read as one
/// request, which suffices for small requests on loopback.
class RefusingServer {
public:
    struct Options {
        std::string refusal; ///< sent to requests that do not run
        std::string response; ///< sent to requests that run
        unsigned refusals = 1; ///< number of requests that are refused
    };

    RefusingServer(boost::asio::io_context& context, Options options)
        : m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_options(std::move(options))
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Address address() const { return { .host = "127.0.0.1", .port = m_acceptor.local_endpoint().port() }; }
    unsigned requests() const { return m_requests; }

    /// Returns the number of requests that ran.
    unsigned runs() const { return m_runs; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            Socket socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Socket socket)
    {
        std::string buf(65536, '\0');
        std::string copy;
        for (;;) {
            boost::system::error_code ec;
            auto token = boost::asio::redirect_error(boost::asio::use_awaitable, ec);
            co_await socket.async_read_some(boost::asio::buffer(buf), token);
            if (ec)
                co_return;
            const bool isRefused = m_requests++ < m_options.refusals;
            m_runs += isRefused ? 0 : 1;
            const std::string out = copy + (isRefused ? m_options.refusal : m_options.response);
            copy = isRefused ? m_options.refusal : std::string();
            co_await boost::asio::async_write(socket, boost::asio::buffer(out), token);
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Options m_options;
    unsigned m_requests = 0;
    unsigned m_runs = 0;
};

} // namespace bulrushstack
