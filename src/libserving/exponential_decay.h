#pragma once

#include <chrono>
#include <cmath>

namespace bulrushstack {

/// Returns the weight of an observation of the given age: 1 for age zero and 1/e after `decayTime`.
inline double decayFactor(std::chrono::nanoseconds age, std::chrono::duration<double> decayTime)
{
    return std::exp(-(std::chrono::duration<double>(age) / decayTime));
}

} // namespace bulrushstack
