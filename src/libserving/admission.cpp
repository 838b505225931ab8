#include "bulrushstack/serving/admission.h"

#include <algorithm>

namespace bulrushstack {

namespace {

constexpr double admittedDelay = 0.5; ///< latency objectives by which an upstream may be behind
constexpr double longestPause = 0.3; ///< of the time left; callers do not honour longer pauses than a third
constexpr Milliseconds shortestPause { 300 };

} // namespace

std::optional<Milliseconds> refusalPause(const AdmissionInput& input, const RatedUpstream& best)
{
    const std::chrono::duration<double, std::milli> objective = input.latencyObjective;
    if (objective.count() <= 0 || best.delay <= admittedDelay * objective)
        return std::nullopt;
    // The upstream has to catch up before there is room again.
    const auto excess = best.delay - admittedDelay * objective;
    const auto pause = std::max<std::chrono::duration<double, std::milli>>(shortestPause, excess)
        + input.spread * longestPause * input.timeLeft;
    return std::chrono::duration_cast<Milliseconds>(
        std::min<std::chrono::duration<double, std::milli>>(pause, longestPause * input.timeLeft));
}

} // namespace bulrushstack
