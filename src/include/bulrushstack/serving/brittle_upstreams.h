#pragma once

#include "bulrushstack/serving/upstream_directory.h"
#include "bulrushstack/serving/upstream_loads.h"

#include <chrono>

namespace bulrushstack {

/// Returns for how long all instances leave a brittle upstream alone after it refused a request for want of room. A
/// brittle upstream fails if it has to refuse more requests a second than it states, so that one refusal must speak for
/// all instances. `jitter` from 0 to 1 spreads their return.
std::chrono::milliseconds pauseAfterRefusal(double refusalsPerSecond, double jitter);

/// Returns whether the upstream is brittle and probably has no free slot, so that it would have to queue or refuse a
/// request. Each of the instances uses only its share of the slots, since requests that all of them send at the same
/// moment are refused before any of them hears of it.
bool isBrittleAndFull(const UpstreamEntry& upstream, const UpstreamDirectory& directory, const UpstreamLoads& loads,
    unsigned instanceCount);

} // namespace bulrushstack
