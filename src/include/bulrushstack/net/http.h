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

/// Ordered header fields with case-insensitive names.
class HttpHeaders {
public:
    using Field = std::pair<std::string, std::string>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields);

    /// Returns the first value of the field; empty if there is none.
    std::optional<std::string> find(std::string_view name) const;

    /// Replaces all values of the field by one.
    void set(std::string_view name, std::string value);
    void add(std::string name, std::string value);
    void remove(std::string_view name);

    /// Returns how many fields of the name there are.
    std::size_t count(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

    friend bool operator==(const HttpHeaders&, const HttpHeaders&) = default;

private:
    std::vector<Field> m_fields;
};

/// A whole request. `target` is the origin form, path and query, as on the wire.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    /// Returns the part of the target before '?'.
    std::string_view path() const;

    /// Returns the part of the target after '?', empty if there is none.
    std::string_view query() const;

    friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

/// A whole response.
struct HttpResponse {
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;

    friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

/// Returns a response with the body and content type application/json.
HttpResponse jsonResponse(unsigned status, std::string body);

/// Decodes %XX escapes; empty if the text holds a broken escape or an encoded NUL.
std::optional<std::string> percentDecode(std::string_view text);

/// Encodes everything but unreserved characters (RFC 3986) as %XX.
std::string percentEncode(std::string_view text);

/// Returns the decoded value of a query parameter; empty if it is absent or broken.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace bulrushstack
