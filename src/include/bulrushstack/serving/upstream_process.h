#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bulrushstack {

/// One process of an upstream.
struct UpstreamProcess {
    std::string upstream;
    std::uint64_t startedAt = 0; ///< Unix milliseconds

    friend auto operator<=>(const UpstreamProcess&, const UpstreamProcess&) = default;
};

} // namespace bulrushstack
