#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/crash_suspects.h"

#include <map>
#include <vector>

namespace bulrushstack {

/// Asks to let one request through whose contents are quarantined, to test whether they still crash upstreams.
struct TrialRequest {
    std::vector<SuspectId> suspects; ///< all that the request contains and that is quarantined

    friend bool operator==(const TrialRequest&, const TrialRequest&) = default;
};

struct TrialReply {
    bool isGranted = false;

    friend bool operator==(const TrialReply&, const TrialReply&) = default;
};

/// Sees to it that all instances together let one request through for a trial. One instance makes the reservations for
/// all others. Performs no I/O.
///
/// A reservation ends by itself: the instance that got it may have found no upstream for its request. An instance that
/// used it tells the others by CrashSuspects::recordTrial(), which puts off the next trial.
class TrialReservations {
public:
    explicit TrialReservations(const Clock& clock);

    /// Reserves a trial of these suspects. Returns false if one of them is reserved already.
    bool reserve(const std::vector<SuspectId>& suspects);

private:
    const Clock& m_clock;
    std::map<SuspectId, SteadyTime> m_reservedUntil;
};

} // namespace bulrushstack
