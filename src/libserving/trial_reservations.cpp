#include "bulrushstack/serving/trial_reservations.h"

#include <algorithm>

namespace bulrushstack {

namespace {

/// Longer than it takes until this instance hears that the trial was used.
constexpr std::chrono::seconds reservationPeriod { 5 };

} // namespace

TrialReservations::TrialReservations(const Clock& clock)
    : m_clock(clock)
{
}

bool TrialReservations::reserve(const std::vector<SuspectId>& suspects)
{
    const auto now = m_clock.now();
    std::erase_if(m_reservedUntil, [now](const auto& it) { return it.second <= now; });
    const auto isReserved = [this](const SuspectId& it) { return m_reservedUntil.count(it) > 0; };
    if (std::any_of(suspects.begin(), suspects.end(), isReserved))
        return false;
    for (const auto& it : suspects)
        m_reservedUntil[it] = now + reservationPeriod;
    return true;
}

} // namespace bulrushstack
