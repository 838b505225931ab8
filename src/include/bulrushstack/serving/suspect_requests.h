#pragma once

#include "bulrushstack/kernel/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushstack {

/// Number of upstream crashes during runs of one request, identified by its digest (see requestDigest()).
struct CrashCount {
    std::string digest;
    std::uint32_t crashes = 0;

    friend bool operator==(const CrashCount&, const CrashCount&) = default;
};

/// Counts upstream crashes per request. A request during which several upstreams crashed is quarantined, since each
/// retry could crash another upstream. Performs no I/O.
class SuspectRequests {
public:
    explicit SuspectRequests(const Clock& clock);

    /// Counts a crash seen by this instance.
    void recordCrash(const std::string& digest);

    /// Removes a request that was served without a crash.
    void recordServed(const std::string& digest);

    /// Merges the total counts of another instance: the higher count of each request is kept.
    void merge(const std::vector<CrashCount>& counts);

    /// Returns whether the request must be refused.
    bool isQuarantined(const std::string& digest) const;

    /// Returns the crashes that this instance has counted since the last call, to report them to the other instances.
    std::vector<CrashCount> takeUnreportedCounts();

    /// Returns the requests with the most crashes, highest count first, at most `limit`.
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
