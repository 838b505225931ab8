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

/// Copies header fields out of a Beast message.
template <typename Fields> HttpHeaders copyFields(const Fields& fields)
{
    HttpHeaders out;
    for (const auto& it : fields)
        out.add(std::string(it.name_string()), std::string(it.value()));
    return out;
}

/// Sends what is left, then reads and discards for a short time, so that the other end gets the answer before a reset.
asio::awaitable<void> lingeringClose(beast::tcp_stream& stream);

/// Returns whether the other end has closed the connection; does not block and consumes nothing.
bool isPeerClosed(asio::ip::tcp::socket& socket);

/// Returns whether an idle connection holds unexpected input or was closed by the other end.
bool isUnusable(asio::ip::tcp::socket& socket);

} // namespace bulrushstack::detail
