#pragma once

#include "bulrushstack/kernel/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace bulrushstack {

/// Remembers what was served within a period, with the time, in bounded memory. When more ids are served than fit,
/// those that were not served again for longest are forgotten.
class RecentlyServed {
public:
    struct Options {
        std::chrono::nanoseconds period {}; ///< time for which an id is remembered at least, if there is room
        std::size_t limit = 0; ///< ids that are kept before the older half is dropped
    };

    RecentlyServed(const Clock& clock, Options options);

    void record(const std::string& id);

    /// Returns when the id was last served; empty if that is unknown.
    std::optional<SteadyTime> find(const std::string& id) const;

private:
    using Times = std::map<std::string, SteadyTime>;

    const Clock& m_clock;
    Options m_options;
    /// When the first map is full or old, it replaces the second one, so that recording an id takes the same time
    /// however many there are.
    Times m_current;
    Times m_older;
    SteadyTime m_currentSince {};
};

} // namespace bulrushstack
