#pragma once

#include <chrono>
#include <cmath>

namespace bulrushstack {

/// Returns the share of an observation that still counts after `age`: 1/e of it after `time`.
inline double decayFactor(std::chrono::nanoseconds age, std::chrono::duration<double> decayTime)
{
    return std::exp(-(std::chrono::duration<double>(age) / decayTime));
}

} // namespace bulrushstack
