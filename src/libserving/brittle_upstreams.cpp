#include "bulrushstack/serving/brittle_upstreams.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr Milliseconds minPause { 300 };
constexpr Milliseconds maxPause { 4000 };
constexpr Milliseconds second { 1000 };

} // namespace

std::chrono::milliseconds pauseAfterRefusal(double refusalsPerSecond, double jitter)
{
    const auto interval = refusalsPerSecond > 0 ? second / refusalsPerSecond : maxPause;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::clamp(interval, minPause, maxPause) * (1 + jitter));
}

bool isBrittleAndFull(const UpstreamEntry& upstream, const UpstreamDirectory& directory, const UpstreamLoads& loads,
    unsigned instanceCount)
{
    if (!directory.refusalLimit(upstream.service))
        return false;
    const unsigned instances = std::max(1U, instanceCount);
    const unsigned ownSlots = (upstream.slots + instances - 1) / instances;
    return loads.inFlight(upstream.id) >= ownSlots || loads.estimatedRequests(upstream.id) + 1 > upstream.slots;
}

} // namespace bulrushstack
