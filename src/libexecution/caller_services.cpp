#include "bulrushstack/execution/admission.h"

#include "caller_text.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace bulrushstack {

using namespace detail;

namespace {

constexpr std::string_view servicesPrefix = "/services/";

/// Returns whether the character may appear unencoded in a path segment (pchar of RFC 3986).
bool isPathCharacter(unsigned char c)
{
    static constexpr std::string_view others = "-._~!$&'()*+,;=:@";
    return std::isalnum(c) || others.find(static_cast<char>(c)) != std::string_view::npos;
}

std::string normaliseSegment(std::string_view decoded)
{
    std::string out;
    for (char c : decoded)
        out += isPathCharacter(static_cast<unsigned char>(c)) ? std::string(1, c)
                                                              : percentEncode(std::string_view(&c, 1));
    return out;
}

/// Validates a path segment and returns its decoded text. Encoded slashes and dot segments are refused: a service that
/// decodes or resolves them sees another path than the one that was matched against the call rules.
AdmissionResult<std::string> decodeSegment(std::string_view segment)
{
    auto decoded = percentDecode(segment);
    if (!decoded)
        return malformedRequest("the path has a broken escape; permitted is % with two hexadecimal digits, except %00");
    if (decoded->empty())
        return malformedRequest("the path has an empty segment");
    if (*decoded == "." || *decoded == "..")
        return malformedRequest("the path has a dot segment");
    const bool isSafe = std::all_of(decoded->begin(), decoded->end(),
        [](unsigned char c) { return c >= 0x20 && c != 0x7f && c != '/' && c != '\\'; });
    if (!isSafe)
        return malformedRequest("the path has a slash, backslash or control character inside a segment");
    return std::move(*decoded);
}

AdmissionResult<std::vector<std::string>> splitPath(std::string_view path)
{
    std::vector<std::string> out;
    for (std::size_t begin = 0; begin <= path.size();) {
        const auto end = std::min(path.find('/', begin), path.size());
        auto segment = decodeSegment(path.substr(begin, end - begin));
        if (auto* problem = std::get_if<Problem>(&segment))
            return std::move(*problem);
        out.push_back(std::move(std::get<std::string>(segment)));
        begin = end + 1;
    }
    return out;
}

/// Returns the headers to forward to the service: removes credentials, hop-by-hop headers and headers that only this
/// system may set on requests to an upstream.
HttpHeaders headersForService(HttpHeaders headers)
{
    static constexpr std::array<std::string_view, 10> removed { "Authorization", "Idempotency-Key", "Bulrush-Deadline",
        "Bulrush-Urgency", "X-Request-Id", "X-Priority", "X-Cache-Salt", "X-Fencing", "X-Not-Started", "Expect" };
    removeHopByHopHeaders(headers);
    for (auto name : removed)
        headers.remove(name);
    headers.remove("Host");
    headers.remove("Content-Length");
    return headers;
}

} // namespace

void removeHopByHopHeaders(HttpHeaders& headers)
{
    static constexpr std::array<std::string_view, 8> removed { "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Upgrade" };
    std::string named;
    for (const auto& [name, value] : headers) {
        if (toLower(name) == "connection")
            named += value + ",";
    }
    while (!named.empty()) {
        const auto end = named.find(',');
        auto name = named.substr(0, end);
        named.erase(0, end + 1);
        std::erase_if(name, [](unsigned char c) { return std::isspace(c); });
        if (!name.empty())
            headers.remove(name);
    }
    for (auto name : removed)
        headers.remove(name);
    headers.remove("Transfer-Encoding");
}

AdmissionResult<ServiceRequest> admitServiceRequest(const RequestContext& context, const HttpRequest& request)
{
    const auto path = request.path();
    if (!path.starts_with(servicesPrefix) || request.target.find('#') != std::string::npos)
        return malformedRequest("the target is not of the form /services/NAME/PATH");
    auto split = splitPath(path.substr(servicesPrefix.size()));
    if (auto* problem = std::get_if<Problem>(&split))
        return std::move(*problem);
    const auto query = request.query();
    // An encoded NUL is valid in a query, but percentDecode() refuses it. Services have no use for it.
    if (!percentDecode(query))
        return malformedRequest(
            "the query has a broken escape; permitted is % with two hexadecimal digits, except %00");
    const auto& segments = std::get<std::vector<std::string>>(split);
    const auto& name = segments.front();
    if (!context.configuration->service(name))
        return Problem { .code = ProblemCode::UnknownService,
            .detail = "the service named in the path does not exist" };
    if (!context.team->services.contains(name))
        return Problem { .code = ProblemCode::ServiceNotPermitted,
            .detail = "the team may not use the service named in the path" };
    auto key = idempotencyKeyFromHeaders(request.headers);
    if (auto* problem = std::get_if<Problem>(&key))
        return std::move(*problem);
    ServiceRequest out;
    out.service = name;
    out.idempotencyKey = std::move(std::get<std::string>(key));
    out.request.method = request.method;
    out.request.target = segments.size() == 1 ? "/" : "";
    for (std::size_t i = 1; i < segments.size(); ++i)
        out.request.target += "/" + normaliseSegment(segments[i]);
    if (request.target.find('?') != std::string::npos)
        out.request.target += "?" + std::string(query);
    out.request.headers = headersForService(request.headers);
    out.request.body = request.body;
    return out;
}

} // namespace bulrushstack
