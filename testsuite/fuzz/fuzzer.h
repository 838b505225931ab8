#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// Entry point of libFuzzer: decodes one input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace bulrushstack {

inline std::string_view asText(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/// Ends the process if the condition does not hold, which libFuzzer reports with the input.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace bulrushstack
