#pragma once

#include "bulrushstack/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bulrushstack {

/// Returns an address of the loopback interface whose port was free a moment ago.
inline Address freeAddress(boost::asio::io_context& context)
{
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return { .host = "127.0.0.1", .port = acceptor.local_endpoint().port() };
}

/// Returns the options of a server on a free port of the loopback interface.
inline HttpServerOptions loopbackOptions()
{
    HttpServerOptions options;
    options.address = { .host = "127.0.0.1", .port = 0 };
    return options;
}

} // namespace bulrushstack
