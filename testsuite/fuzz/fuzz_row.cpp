// Rows of the platform's store: the operator's configuration and the entries of upstreams.

#include "fuzzer.h"
#include "row_format.h"

using namespace bulrushstack;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const PlatformRowFormat format;
    const auto value = nlohmann::json::parse(asText(data, size), nullptr, false);
    const auto upstream = format.decodeUpstream({ .id = { "servers", "i" }, .version = 1, .value = value });
    require(upstream || upstream.error().code == Errc::Malformed);
    const auto configuration = format.decodeConfiguration({ .id = { "op", "config" }, .version = 1, .value = value });
    require(configuration || configuration.error().code == Errc::Malformed);
    return 0;
}
