#include "bulrushstack/serving/duty_pacing.h"

#include <algorithm>

namespace bulrushstack {

std::chrono::nanoseconds pauseAfterRound(const DutyPacing& pacing, std::chrono::nanoseconds duration)
{
    const std::chrono::duration<double, std::nano> byShare = duration * (1 / pacing.share - 1);
    const auto pause = std::chrono::duration_cast<std::chrono::nanoseconds>(byShare);
    return std::max(pacing.interval, std::min(pause, pacing.longestPause));
}

} // namespace bulrushstack
