#pragma once

#include "experiment.h"

namespace bulrushstack::load {

/// A request and its planned send time.
struct PlannedRequest {
    std::chrono::nanoseconds offset {}; ///< planned send time, relative to the start of the run
    std::uint64_t number = 0; ///< identifies the request; a repeated request has the number of the original
    std::uint64_t prompt = 0; ///< requests of a team with the same value share the beginning of their prompt
    std::uint32_t round = 0; ///< repetition of the phases, counted from 0
    std::uint32_t phase = 0; ///< index of the PhaseSpec
    std::uint32_t request = 0; ///< index of the RequestSpec
    std::uint32_t team = 0; ///< index of the TeamSpec
    std::uint32_t target = 0; ///< index in Experiment::targets

    friend bool operator==(const PlannedRequest&, const PlannedRequest&) = default;
};

/// Returns the requests of the experiment in order of their offsets. The result is determined by the experiment,
/// including its seed.
std::vector<PlannedRequest> planRequests(const Experiment& experiment);

} // namespace bulrushstack::load
