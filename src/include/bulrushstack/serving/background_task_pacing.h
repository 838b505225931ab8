#pragma once

#include "bulrushstack/kernel/clock.h"

namespace bulrushstack {

/// Limits how much time a periodic background task takes on the thread that also serves requests and polls the
/// configuration.
struct BackgroundTaskPacing {
    std::chrono::nanoseconds minPause = std::chrono::milliseconds(150); ///< Shortest pause between two runs.
    /// Largest share of the time that the runs may take. A longer run is followed by a longer pause.
    double maxTimeShare = 0.1;
    /// Longest pause between two runs. It takes precedence over the time share, so that the task still runs when each
    /// run is slow.
    std::chrono::nanoseconds maxPause = std::chrono::seconds(2);

    friend bool operator==(const BackgroundTaskPacing&, const BackgroundTaskPacing&) = default;
};

/// Returns the pause after a run of the given duration. The duration is wall-clock time: on an instance with a small
/// CPU share, a run takes longer and the task therefore runs less often.
std::chrono::nanoseconds pauseAfterRun(const BackgroundTaskPacing& pacing, std::chrono::nanoseconds duration);

} // namespace bulrushstack
