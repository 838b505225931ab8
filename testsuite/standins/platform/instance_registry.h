#pragma once

#include "bulrushstack/kernel/clock.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace bulrushstack::standins {

/// Registry of the instances that the platform's scheduler has started, and a public list of them that is delayed by a
/// fixed lag.
class InstanceRegistry {
public:
    /// The clock must outlive the registry.
    InstanceRegistry(const Clock& clock, std::chrono::nanoseconds lag);

    /// Adds or replaces the record of an instance. Returns an empty string, or an error message if a field of the
    /// record is missing or has the wrong type.
    std::string put(const std::string& id, nlohmann::json record);

    /// Removes the record of an instance. Returns false if there is none.
    bool remove(const std::string& id);

    /// Returns the response body of GET /instances as it was one lag ago.
    nlohmann::json delayedList();

    /// Returns the response body of GET /instances without the lag.
    nlohmann::json currentList() const;

private:
    using Records = std::map<std::string, nlohmann::json>;

    struct Snapshot {
        SteadyTime since;
        Records records;
    };

    void append(Records records);

    const Clock& m_clock;
    std::chrono::nanoseconds m_lag;
    std::deque<Snapshot> m_history; ///< snapshots that the lagging list still needs, oldest first; never empty
};

} // namespace bulrushstack::standins
