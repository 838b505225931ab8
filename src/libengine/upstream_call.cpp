#include "upstream_call.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace bulrushstack::detail {

namespace asio = boost::asio;

namespace {

std::string toLower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

std::string_view trim(std::string_view text)
{
    static constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Returns the names of the fields that the Connection header lists as hop-by-hop.
std::vector<std::string> connectionOptions(const HttpHeaders& headers)
{
    std::vector<std::string> out;
    for (const auto& [name, value] : headers) {
        if (toLower(name) != "connection")
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            out.emplace_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return out;
}

bool isMismatchedResponse(const HttpHeaders& headers, std::string_view requestId, RequestIdEcho rule)
{
    const auto n = headers.count("X-Request-Id");
    if (n == 0)
        return rule == RequestIdEcho::Required;
    return n > 1 || headers.find("X-Request-Id") != requestId;
}

bool isRefusal(const HttpStream& stream)
{
    return (stream.status() == 429 || stream.status() == 503) && stream.headers().find("X-Not-Started") == "1";
}

} // namespace

void removeHopByHop(HttpHeaders& headers)
{
    // Content-Length and Host are not hop-by-hop fields, but they are set again for the next connection.
    static constexpr std::array<std::string_view, 8> names { "Connection", "Keep-Alive", "Transfer-Encoding", "TE",
        "Trailer", "Upgrade", "Content-Length", "Host" };
    for (const auto& it : connectionOptions(headers))
        headers.remove(it);
    for (const auto it : names)
        headers.remove(it);
    std::vector<std::string> proxyFields;
    for (const auto& [name, value] : headers) {
        if (toLower(name).starts_with("proxy-"))
            proxyFields.push_back(name);
    }
    for (const auto& it : proxyFields)
        headers.remove(it);
}

void closeIdleAfterTimeout(HttpClient& client, const Address& address, const Failure& failure)
{
    if (failure.code == Errc::Timeout)
        client.closeIdleConnections(address);
}

Failure withMayHaveRun(Failure failure)
{
    failure.verdict = join(failure.verdict, Verdict::MayHaveRun);
    return failure;
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> openChecked(HttpClient& client, Address address,
    HttpRequest request, std::string requestId, HttpCallOptions options, RequestIdEcho rule)
{
    request.headers.set("X-Request-Id", requestId);
    request.id = requestId;
    auto stream = co_await client.open(address, std::move(request), options);
    if (!stream) {
        closeIdleAfterTimeout(client, address, stream.error());
        co_return stream.error();
    }
    // Returning without moving the stream out destroys it, which closes the connection.
    if (isMismatchedResponse((*stream)->headers(), requestId, rule))
        co_return Failure { .code = Errc::MismatchedResponse,
            .verdict = Verdict::MayHaveRun,
            .detail = "the response of " + address.toString() + " belongs to another request" };
    if (isRefusal(**stream))
        co_return Failure { .code = Errc::Refused,
            .verdict = Verdict::NotRun,
            .detail = address.toString() + " refused the request with status " + std::to_string((*stream)->status()) };
    co_return std::move(*stream);
}

asio::awaitable<Result<HttpResponse>> callChecked(HttpClient& client, Address address, HttpRequest request,
    std::string requestId, HttpCallOptions options, RequestIdEcho rule)
{
    auto stream = co_await openChecked(client, address, std::move(request), std::move(requestId), options, rule);
    if (!stream)
        co_return stream.error();
    auto body = co_await (*stream)->readAll();
    if (!body) {
        closeIdleAfterTimeout(client, address, body.error());
        co_return body.error();
    }
    HttpResponse response;
    response.status = (*stream)->status();
    response.headers = (*stream)->headers();
    removeHopByHop(response.headers);
    response.body = std::move(*body);
    co_return response;
}

} // namespace bulrushstack::detail
