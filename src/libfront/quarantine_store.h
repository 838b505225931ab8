#pragma once

#include "holder_row.h"

#include <map>

namespace bulrushstack {

/// Keeps what is quarantined in the platform's store, so that it survives the loss of all instances at once.
///
/// Every instance reads the row when it starts; only the holder of the placement lease writes it.
class QuarantineStore {
public:
    QuarantineStore(FrontState& state, FrontBinding& binding, const LeaseManager& leaseManager);

    /// Reads the row and merges it into the crashes that this instance knows. Gives up after a few attempts; the
    /// instance then learns from the holder.
    boost::asio::awaitable<void> load();

    /// Writes the row if this instance is the holder and the quarantine has changed since the last write, or the store
    /// was restored from a copy and may have lost it. A failed write is repeated by the next call.
    boost::asio::awaitable<void> saveIfChanged();

private:
    FrontState& m_state;
    HolderRow m_row;
    std::map<SuspectId, QuarantineState> m_saved;
};

} // namespace bulrushstack
