#pragma once

#include "experiment.h"

namespace bulrushstack::load {

/// One request and when it is to be sent.
struct PlannedRequest {
    std::chrono::nanoseconds offset {}; ///< from the start of the run
    std::uint64_t number = 0; ///< identifies the request; a repeated request has the number of the first
    std::uint64_t prompt = 0; ///< requests of a team with the same prompt share the beginning of their text
    std::uint32_t round = 0; ///< which repeat of the phases
    std::uint32_t phase = 0;
    std::uint32_t request = 0; ///< index of the RequestSpec
    std::uint32_t team = 0;
    std::uint32_t target = 0;

    friend bool operator==(const PlannedRequest&, const PlannedRequest&) = default;
};

/// Returns the requests of the experiment in the order of their offsets. Depends on nothing but the experiment.
std::vector<PlannedRequest> planRequests(const Experiment& experiment);

} // namespace bulrushstack::load
