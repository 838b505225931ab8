#pragma once

#include "bulrushstack/front/placement_messages.h"

#include <map>
#include <set>
#include <string>

namespace bulrushstack {

/// Adds up the demand that other instances report to this one, until it is passed on to the lease holder. The lease
/// holder thus hears of the demand of all instances from a few of them. Crashes are not collected, since each instance
/// keeps all that it hears of them.
///
/// Each report is counted once, in the message that is taken next; a report that is lost on the way is not sent again.
class DemandCollector {
public:
    void add(const DemandMessage& message);

    /// Moves the demand collected since the last call into a message of this instance.
    void takeInto(DemandMessage& message);

    /// Returns whether a collected report contains requests that found no upstream with their model.
    bool isUrgent() const { return m_isUrgent; }

private:
    std::map<ModelKey, ModelDemand> m_models;
    std::map<std::tuple<std::string, std::string, std::string>, AdapterDemand> m_adapters;
    std::set<std::string> m_unreachable;
    std::map<std::string, RelayMember> m_reporters;
    std::map<std::string, CreditUse> m_creditUses; ///< by instance; totals, so that the last one counts
    bool m_isUrgent = false;
};

} // namespace bulrushstack
