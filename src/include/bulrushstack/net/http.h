#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/kernel/settings.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushstack {

/// HTTP header fields in the order of the message. Names are compared without regard to case; one name may occur
/// several times.
class HttpHeaders {
public:
    using Field = std::pair<std::string, std::string>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields);

    /// Returns the value of the first field with this name, or an empty optional if there is none.
    std::optional<std::string> find(std::string_view name) const;

    /// Removes all fields with this name and adds one with the given value.
    void set(std::string_view name, std::string value);
    void add(std::string name, std::string value);
    void remove(std::string_view name);

    /// Returns the number of fields with this name.
    std::size_t count(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

    friend bool operator==(const HttpHeaders&, const HttpHeaders&) = default;

private:
    std::vector<Field> m_fields;
};

/// An HTTP request with its complete body. `target` holds path and query in origin form (RFC 9112, section 3.2.1), as
/// sent on the wire.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    /// For HttpClient: id by which the response names the request; empty if responses name none. It is not sent, since
    /// the header field that carries it depends on the protocol.
    std::string id;

    /// Returns the path: the part of the target before '?', still percent-encoded.
    std::string_view path() const;

    /// Returns the query: the part of the target after '?', still percent-encoded; empty if there is no '?'.
    std::string_view query() const;

    friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

/// An HTTP response with its complete body.
struct HttpResponse {
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;

    friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

/// Returns a response with the given status and body and with Content-Type application/json.
HttpResponse jsonResponse(unsigned status, std::string body);

/// Returns the response of one instance to another one whose request it cannot answer.
HttpResponse jsonErrorResponse(unsigned status, std::string_view reason);

/// Decodes %XX escapes. Returns an empty optional if an escape is malformed or encodes a NUL byte.
std::optional<std::string> percentDecode(std::string_view text);

/// Encodes every byte as %XX except the unreserved characters of RFC 3986.
std::string percentEncode(std::string_view text);

/// Returns the percent-decoded value of a query parameter, or an empty optional if the parameter is absent or its value
/// is malformed.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace bulrushstack
