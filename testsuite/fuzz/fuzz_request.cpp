// Requests of callers: the HTTP parser, and the platform's headers in a request.

#include "fuzzer.h"
#include "http_beast.h"
#include "request_format.h"

using namespace bulrushstack;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    detail::http::request_parser<detail::ReceivedBody> parser;
    parser.eager(true);
    detail::beast::error_code ec;
    parser.put(detail::asio::buffer(data, size), ec);
    if (!parser.is_header_done())
        return 0;
    const auto& message = parser.get();
    HttpRequest request { .method = std::string(message.method_string()), .target = std::string(message.target()) };
    request.headers = detail::copyFields(message.base());
    request.body = message.body();
    const PlatformRequestFormat format;
    const auto decoded = format.decode(request);
    require(decoded || decoded.error().code == Errc::Malformed);
    format.encode(request, { .upstreamId = "u" });
    return 0;
}
