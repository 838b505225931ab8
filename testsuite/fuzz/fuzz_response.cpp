// Responses of upstreams: the HTTP parser, and the platform's headers in a response.

#include "fuzzer.h"
#include "http_beast.h"
#include "request_format.h"

using namespace bulrushstack;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    detail::http::response_parser<detail::ReceivedBody> parser;
    parser.eager(true);
    detail::beast::error_code ec;
    parser.put(detail::asio::buffer(data, size), ec);
    if (!parser.is_header_done())
        return 0;
    const auto headers = detail::copyFields(parser.get().base());
    const PlatformRequestFormat format;
    format.decodeResponseHead(parser.get().result_int(), headers);
    format.forwardedResponseHeaders(headers);
    return 0;
}
