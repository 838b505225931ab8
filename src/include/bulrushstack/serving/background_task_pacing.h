#pragma once

#include "bulrushstack/kernel/clock.h"

namespace bulrushstack {

/// How often a recurring duty runs on the thread that also serves requests and follows the configuration.
struct BackgroundTaskPacing {
    std::chrono::nanoseconds minPause = std::chrono::milliseconds(150); ///< between the starts of two short rounds
    double maxTimeShare = 0.1; ///< most that the rounds take of the time; a longer round is followed by a longer pause
    std::chrono::nanoseconds maxPause = std::chrono::seconds(2); ///< so that the duty is not given up altogether

    friend bool operator==(const BackgroundTaskPacing&, const BackgroundTaskPacing&) = default;
};

/// Returns how long to wait after a round of the given duration. The duration is wall time: on an instance with a small
/// share of a processor the same work takes longer and is done less often.
std::chrono::nanoseconds pauseAfterRun(const BackgroundTaskPacing& pacing, std::chrono::nanoseconds duration);

} // namespace bulrushstack
