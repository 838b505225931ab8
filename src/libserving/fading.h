#pragma once

#include <chrono>
#include <cmath>

namespace bulrushstack {

/// Returns the share of an observation that still counts after `age`: 1/e of it after `time`.
inline double fade(std::chrono::nanoseconds age, std::chrono::duration<double> time)
{
    return std::exp(-(std::chrono::duration<double>(age) / time));
}

} // namespace bulrushstack
