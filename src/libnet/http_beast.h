#pragma once

#include "bulrushstack/net/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bulrushstack::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Copies the header fields of a Beast message.
template <typename Fields> HttpHeaders copyFields(const Fields& fields)
{
    HttpHeaders out;
    for (const auto& it : fields)
        out.add(std::string(it.name_string()), std::string(it.value()));
    return out;
}

/// Shuts down sending, then reads and discards input for up to 1 second before closing. Closing a socket with unread
/// input sends a TCP reset, which could destroy the response before the client has read it.
asio::awaitable<void> lingeringClose(beast::tcp_stream& stream);

/// Returns whether the connection is closed locally or by the peer. Does not block and consumes no input.
bool isPeerClosed(asio::ip::tcp::socket& socket);

/// Returns whether an idle connection cannot be reused because it is closed or has unexpected input.
bool isUnusable(asio::ip::tcp::socket& socket);

} // namespace bulrushstack::detail
