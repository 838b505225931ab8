#pragma once

#include "bulrushstack/net/http_server.h"
#include "server_connection.h"

namespace bulrushstack::detail {

/// Maximum number of bytes that one read of a request header returns.
inline constexpr std::size_t headerReadSize = 4096;

using RequestParser = http::request_parser<ReceivedBody>;

/// Reads one request from a connection in bounded steps, and charges the connection's memory for each step before it is
/// taken. All references must outlive the reader.
class RequestReader {
public:
    RequestReader(ServerConnection& connection, const HttpServerOptions& options);

    /// Reads the header section, of which some bytes may be in the connection's buffer already. The error is
    /// http::error::header_limit if it is too large, asio::error::no_memory if there is no room for it.
    asio::awaitable<beast::error_code> readHeader();

    /// Reads the body and the trailers. Trailers and chunk headers, which stay in the connection's buffer until they
    /// are complete, have the limit of a header section. Errors are those of readHeader() and http::error::body_limit.
    asio::awaitable<beast::error_code> readBody();

    /// Returns what is wrong with the syntax of the header section; empty if nothing is.
    std::string_view syntaxError() const { return m_syntaxError; }

    /// Returns 0 if the framing of the request is accepted, 400 if it is ambiguous, and 501 for a transfer coding other
    /// than "chunked".
    unsigned framingErrorStatus() const;

    RequestParser& parser() { return m_parser; }

private:
    asio::awaitable<beast::error_code> readHeaderSection();
    asio::awaitable<beast::error_code> readSome(std::size_t size);

    ServerConnection& m_connection;
    const HttpServerOptions& m_options;
    RequestParser m_parser;
    std::string_view m_syntaxError;
};

} // namespace bulrushstack::detail
