#pragma once

#include "bulrushstack/kernel/result.h"

#include <cstdint>

namespace bulrushstack::detail {

/// How to continue a stream that broke or stalled.
enum class Recovery {
    Resume, ///< continue the stream on the same upstream over a new connection
    Retry, ///< send the request to another upstream and skip the events that were delivered
    GiveUp, ///< end the stream with an error
};

/// The operation on a stream that failed.
enum class StreamStep {
    Open, ///< sending the request
    Resume, ///< resuming the stream on a new connection
    Read, ///< reading an event
};

/// State of a broken stream, from which its recovery is chosen.
struct BrokenStream {
    StreamStep step = StreamStep::Open;
    Failure failure; ///< why `step` failed
    unsigned resumesWithoutProgress = 0; ///< consecutive resumes without a new event
    unsigned resumeLimit = 0; ///< largest permitted value of `resumesWithoutProgress`
    std::uint64_t deliveredCount = 0; ///< events that were sent to the caller
    bool isDeterministic = false; ///< a retry produces the same events
};

/// Returns whether the engine rejected the request as invalid, so that any other engine would reject it too.
bool isRejectedAsInvalid(const BrokenStream& stream);

/// Chooses the recovery. A retry is permitted only if no event was delivered or the request is deterministic; otherwise
/// the caller could receive parts of two different responses.
Recovery chooseRecovery(const BrokenStream& stream);

} // namespace bulrushstack::detail
