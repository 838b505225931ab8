#pragma once

#include "bulrushstack/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bulrushstack {

/// A loopback address whose port no other process can take while this object exists. A server that sets SO_REUSEADDR,
/// as HttpServer does, can still listen on it. Until one does, connections to it are refused.
class ReservedAddress {
public:
    explicit ReservedAddress(boost::asio::io_context& context)
        : m_socket(context, boost::asio::ip::tcp::v4())
    {
        m_socket.set_option(boost::asio::socket_base::reuse_address(true));
        m_socket.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
        m_address = { .host = "127.0.0.1", .port = m_socket.local_endpoint().port() };
    }

    const Address& address() const { return m_address; }

private:
    boost::asio::ip::tcp::socket m_socket; ///< bound, but never listening
    Address m_address;
};

/// Returns server options that bind a free port (port 0) of the loopback interface.
inline HttpServerOptions loopbackOptions()
{
    HttpServerOptions options;
    options.address = { .host = "127.0.0.1", .port = 0 };
    return options;
}

} // namespace bulrushstack
