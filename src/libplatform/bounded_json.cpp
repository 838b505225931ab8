#include "bulrushstack/platform/bounded_json.h"

namespace bulrushstack {

using json = nlohmann::json;

json parseBoundedJson(std::string_view text)
{
    static constexpr int depthLimit = 64;
    bool isTooDeep = false;
    auto value = json::parse(
        text,
        [&](int depth, json::parse_event_t, json&) {
            isTooDeep = isTooDeep || depth > depthLimit;
            return !isTooDeep;
        },
        false);
    return isTooDeep ? json(json::value_t::discarded) : value;
}

} // namespace bulrushstack
