#pragma once

#include "bulrushstack/kernel/result.h"

#include <cstdint>

namespace bulrushstack::detail {

/// What to do about a stream that broke or went silent.
enum class Recovery {
    Resume, ///< continue it on the same upstream over a new connection
    Retry, ///< send the request to another upstream and skip what was delivered
    GiveUp, ///< end it with an error
};

/// The operation that failed.
enum class StreamStep {
    Open,
    Resume,
    Read,
};

/// A broken stream at the moment of the decision.
struct BrokenStream {
    StreamStep step = StreamStep::Open;
    Failure failure; ///< of the step
    unsigned resumesWithoutProgress = 0; ///< resumes in a row without a new event
    unsigned resumeLimit = 0;
    std::uint64_t deliveredCount = 0; ///< events that the caller has
    bool isDeterministic = false;
};

/// Returns whether the engine refused the request itself, so that another engine would refuse it too.
bool isRejectedAsInvalid(const BrokenStream& stream);

/// Chooses the recovery. A repetition is sound only if nothing was delivered or the same events come again.
Recovery chooseRecovery(const BrokenStream& stream);

} // namespace bulrushstack::detail
