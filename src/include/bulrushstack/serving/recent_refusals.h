#pragma once

#include "bulrushstack/kernel/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace bulrushstack {

/// Counts the requests that upstreams refused lately for want of room, to tell whether a brittle upstream failed
/// because of them. What other instances report is counted as well. Performs no I/O.
class RecentRefusals {
public:
    explicit RecentRefusals(const Clock& clock);

    /// Records refusals of one process of an upstream. `startedAt` is its start time, in Unix milliseconds.
    void record(const std::string& upstream, std::uint64_t startedAt, unsigned refusals);

    /// Returns whether the process may have failed because of its refusals, if it stands `refusalsPerSecond`. Half of
    /// them suffice, since this instance may not have heard of all.
    bool mayExplainFailure(const std::string& upstream, std::uint64_t startedAt, double refusalsPerSecond) const;

private:
    using Process = std::pair<std::string, std::uint64_t>;

    struct Batch {
        SteadyTime at {};
        unsigned refusals = 0;
    };

    void removeOld();

    const Clock& m_clock;
    std::map<Process, std::deque<Batch>> m_batches;
};

} // namespace bulrushstack
