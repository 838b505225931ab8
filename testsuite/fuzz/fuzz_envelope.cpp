// Messages of other instances. The input is the CBOR map; it is decoded with a valid signature and as a whole message.

#include "fuzzer.h"
#include "peer_envelope.h"

#include "bulrushstack/kernel/ids.h"

using namespace bulrushstack;

namespace {

constexpr std::size_t messageLimit = 1024 * 1024; // bytes

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::vector<std::string> keys { "key" };
    const auto text = asText(data, size);
    const auto forged = decodeSignedEnvelope(text, keys, messageLimit);
    require(!forged);
    const auto envelope = decodeSignedEnvelope(hmacSha256(keys.front(), text).append(text), keys, messageLimit);
    require(envelope || envelope.error().code == Errc::Malformed);
    if (!envelope)
        return 0;
    const auto again = decodeSignedEnvelope(encodeSignedEnvelope(*envelope, keys.front()), keys, messageLimit);
    require(again && again->from == envelope->from && again->sequence == envelope->sequence);
    return 0;
}
