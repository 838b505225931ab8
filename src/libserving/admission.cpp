#include "bulrushstack/serving/admission.h"

#include <algorithm>

namespace bulrushstack {

namespace {

/// Queueing delay, as a fraction of the latency objective, up to which requests are admitted.
constexpr double maxDelayRatio = 0.5;
/// Longest retry delay, as a fraction of the time left. Callers ignore a delay of more than a third of their remaining
/// time.
constexpr double maxRetryDelayRatio = 0.3;
constexpr Milliseconds minRetryDelay { 300 };

} // namespace

std::optional<Milliseconds> rejectionRetryDelay(const AdmissionInput& input, const RankedUpstream& best)
{
    const std::chrono::duration<double, std::milli> objective = input.latencyObjective;
    if (objective.count() <= 0 || best.queueingDelay <= maxDelayRatio * objective)
        return std::nullopt;
    // The upstream must work off the excess delay before it can admit requests again.
    const auto excess = best.queueingDelay - maxDelayRatio * objective;
    const auto retryDelay = std::max<std::chrono::duration<double, std::milli>>(minRetryDelay, excess)
        + input.jitter * maxRetryDelayRatio * input.timeLeft;
    return std::chrono::duration_cast<Milliseconds>(
        std::min<std::chrono::duration<double, std::milli>>(retryDelay, maxRetryDelayRatio * input.timeLeft));
}

} // namespace bulrushstack
