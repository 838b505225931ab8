#include "bulrushstack/net/http.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace bulrushstack {

namespace {

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

bool isUnreserved(unsigned char c) { return std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~'; }

} // namespace

HttpHeaders::HttpHeaders(std::initializer_list<Field> fields)
    : m_fields(fields)
{
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const auto& [field, value] : m_fields) {
        if (equalIgnoringCase(field, name))
            return value;
    }
    return std::nullopt;
}

void HttpHeaders::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void HttpHeaders::add(std::string name, std::string value) { m_fields.emplace_back(std::move(name), std::move(value)); }

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const Field& field) { return equalIgnoringCase(field.first, name); });
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        m_fields.begin(), m_fields.end(), [&](const Field& field) { return equalIgnoringCase(field.first, name); }));
}

std::string_view HttpRequest::path() const { return std::string_view(target).substr(0, target.find('?')); }

std::string_view HttpRequest::query() const
{
    const auto mark = target.find('?');
    return mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

HttpResponse jsonErrorResponse(unsigned status, std::string_view reason)
{
    return jsonResponse(status, nlohmann::json { { "error", reason } }.dump());
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        const int high = hexDigit(text[i + 1]);
        const int low = hexDigit(text[i + 2]);
        if (high < 0 || low < 0 || (high == 0 && low == 0))
            return std::nullopt;
        out += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return out;
}

std::string percentEncode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    for (unsigned char c : text) {
        if (isUnreserved(c)) {
            out += static_cast<char>(c);
            continue;
        }
        out += '%';
        out += digits[c >> 4];
        out += digits[c & 15];
    }
    return out;
}

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return percentDecode(equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace bulrushstack
