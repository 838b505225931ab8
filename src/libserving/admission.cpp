#include "bulrushstack/serving/admission.h"

#include <algorithm>

namespace bulrushstack {

namespace {

constexpr double maxDelayRatio = 0.5; ///< latency objectives by which an upstream may be behind
constexpr double maxRetryDelayRatio = 0.3; ///< of the time left; callers do not honour longer pauses than a third
constexpr Milliseconds minRetryDelay { 300 };

} // namespace

std::optional<Milliseconds> rejectionRetryDelay(const AdmissionInput& input, const RankedUpstream& best)
{
    const std::chrono::duration<double, std::milli> objective = input.latencyObjective;
    if (objective.count() <= 0 || best.queueingDelay <= maxDelayRatio * objective)
        return std::nullopt;
    // The upstream has to catch up before there is room again.
    const auto excess = best.queueingDelay - maxDelayRatio * objective;
    const auto retryDelay = std::max<std::chrono::duration<double, std::milli>>(minRetryDelay, excess)
        + input.jitter * maxRetryDelayRatio * input.timeLeft;
    return std::chrono::duration_cast<Milliseconds>(
        std::min<std::chrono::duration<double, std::milli>>(retryDelay, maxRetryDelayRatio * input.timeLeft));
}

} // namespace bulrushstack
