#pragma once

#include "bulrushstack/kernel/clock.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace bulrushstack::standins {

/// The platform's instances as its scheduler registers them, and the public list, which lags behind.
class InstanceRegistry {
public:
    /// The clock must outlive the register.
    InstanceRegistry(const Clock& clock, std::chrono::nanoseconds lag);

    /// Adds or replaces the record of an instance. Returns an error message for a record of the wrong shape.
    std::string put(const std::string& id, nlohmann::json record);

    /// Returns whether there was a record.
    bool remove(const std::string& id);

    /// Returns the answer to GET /instances as of the lag ago.
    nlohmann::json delayedList();

    /// Returns the answer to GET /instances without the lag.
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
    std::deque<Snapshot> m_history; ///< oldest first, never empty
};

} // namespace bulrushstack::standins
