#pragma once

#include <chrono>

namespace bulrushstack {

/// When an instance reports its demand to the placement holder, and when it takes the holder for gone. All times follow
/// from the number of instances, since one holder answers all of them.
class DemandReportSchedule {
public:
    /// `instances` is how many report; 0 while it is not known.
    explicit DemandReportSchedule(unsigned instances);

    /// Returns the time between two reports; shorter while requests miss their model.
    std::chrono::milliseconds reportInterval(bool isUrgent) const;

    /// Returns the time after which a report without an answer has failed.
    static std::chrono::milliseconds reportTimeout();

    /// Returns the age of the holder's last answer from which it counts as gone. Longer than any time between two
    /// answers of a holder that lives.
    std::chrono::milliseconds holderTimeout() const;

private:
    unsigned m_instances;
};

} // namespace bulrushstack
