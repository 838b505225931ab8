#include "bulrushstack/serving/background_task_pacing.h"

#include <algorithm>

namespace bulrushstack {

std::chrono::nanoseconds pauseAfterRun(const BackgroundTaskPacing& pacing, std::chrono::nanoseconds duration)
{
    const std::chrono::duration<double, std::nano> byShare = duration * (1 / pacing.maxTimeShare - 1);
    const auto pause = std::chrono::duration_cast<std::chrono::nanoseconds>(byShare);
    return std::max(pacing.minPause, std::min(pause, pacing.maxPause));
}

} // namespace bulrushstack
