#pragma once

#include "bulrushstack/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bulrushstack {

/// Returns a loopback address with a port that was free when checked. Another process may bind the port before the
/// caller.
inline Address freeAddress(boost::asio::io_context& context)
{
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return { .host = "127.0.0.1", .port = acceptor.local_endpoint().port() };
}

/// Returns server options that bind a free port (port 0) of the loopback interface.
inline HttpServerOptions loopbackOptions()
{
    HttpServerOptions options;
    options.address = { .host = "127.0.0.1", .port = 0 };
    return options;
}

} // namespace bulrushstack
