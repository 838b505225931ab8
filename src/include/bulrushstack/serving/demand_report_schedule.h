#pragma once

#include <chrono>

namespace bulrushstack {

/// Schedules the demand reports that each instance sends to the placement holder (the instance that holds the placement
/// lease), and the timeout after which an instance considers the holder lost. All times grow with the number of
/// instances, since one holder answers all of them.
class DemandReportSchedule {
public:
    /// `instances` is the number of instances that send reports; 0 if it is not known yet.
    explicit DemandReportSchedule(unsigned instances);

    /// Returns the time between two reports. Urgent reports, sent while requests find no upstream with their model, are
    /// more frequent.
    std::chrono::milliseconds reportInterval(bool isUrgent) const;

    /// Returns the time after which a report without a response counts as failed.
    static std::chrono::milliseconds reportTimeout();

    /// Returns the time without a response from the holder after which it counts as lost. It is longer than any time
    /// between two responses of a live holder.
    std::chrono::milliseconds holderTimeout() const;

private:
    unsigned m_instances;
};

} // namespace bulrushstack
