#include "bulrushstack/serving/serving_request.h"

#include "bulrushstack/kernel/ids.h"
#include <xxhash.h>

namespace bulrushstack {

double unsharedPromptTokens(const ServingRequest& request)
{
    return request.prompt.empty() ? request.promptTokens : request.prompt.back().tokens;
}

std::string prefixKey(const ServingRequest& request)
{
    std::string out = request.model + "/" + request.adapter;
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i)
        out += "," + request.prompt[i].id;
    return out;
}

std::string requestDigest(const ServingRequest& request, const std::string& target, const std::string& body)
{
    std::string head = request.host + "\n" + target + "\n" + request.model + "/" + request.adapter + "\n";
    if (body.empty()) {
        for (const auto& it : request.prompt)
            head += it.id + ",";
    }
    XXH3_state_t state;
    XXH3_128bits_reset(&state);
    XXH3_128bits_update(&state, head.data(), head.size());
    XXH3_128bits_update(&state, body.data(), body.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(&state));
    return toHex({ reinterpret_cast<const char*>(canonical.digest), sizeof(canonical.digest) });
}

} // namespace bulrushstack
