#pragma once

#include "bulrushstack/kernel/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushstack {

/// Crashes of upstreams during one request, by the digest of what the caller asked for.
struct CrashCount {
    std::string digest;
    std::uint32_t crashes = 0;

    friend bool operator==(const CrashCount&, const CrashCount&) = default;
};

/// Requests that were running when upstreams crashed. One that crashed several is refused, since it would take down
/// one upstream after the other. No I/O.
class SuspectRequests {
public:
    explicit SuspectRequests(const Clock& clock);

    /// Counts a crash that this instance saw.
    void recordCrash(const std::string& digest);

    /// Clears a request that ran to its end.
    void recordServed(const std::string& digest);

    /// Takes counts that another instance has seen in all.
    void merge(const std::vector<CrashCount>& counts);

    /// Returns whether the request is refused.
    bool isQuarantined(const std::string& digest) const;

    /// Returns what this instance has counted since the last call, for the other instances.
    std::vector<CrashCount> takeUnreportedCounts();

    /// Returns all counts, highest first, at most `limit`.
    std::vector<CrashCount> counts(std::size_t limit) const;

private:
    struct Suspect {
        std::uint32_t crashes = 0;
        SteadyTime lastCrash {};
    };

    void removeExpired();

    const Clock& m_clock;
    std::map<std::string, Suspect> m_suspects;
    std::map<std::string, std::uint32_t> m_unreported;
};

} // namespace bulrushstack
