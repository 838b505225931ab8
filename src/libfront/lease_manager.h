#pragma once

#include "bulrushstack/front/front_binding.h"
#include "bulrushstack/serving/placement_lease.h"
#include "front_metrics.h"
#include "front_state.h"

#include <optional>

namespace bulrushstack {

/// Keeps the placement lease: reads its row, claims it when nobody holds it, renews it while this instance does, and
/// gives it back. What follows from holding it is up to the caller.
class LeaseManager {
public:
    /// `ownAddress` is where other instances reach this one when it holds the lease.
    LeaseManager(FrontState& state, FrontBinding& binding, FrontMetrics& metrics, Address ownAddress);

    /// Runs until release().
    boost::asio::awaitable<void> run();

    /// Stops holding the lease at once and gives it back in the store; a failure of that is logged, the lease then ends
    /// by itself.
    boost::asio::awaitable<void> release();

    bool isReleased() const { return m_isReleased; }
    bool isHolder() const;

    /// Returns whether an order may be sent now; false as well in the handover pause after another holder.
    bool maySendOrders() const;

    /// Returns whether the holder has answered this instance lately.
    bool hasRecentHolderContact() const;

    /// Returns the lease if another instance holds it; empty if nobody or this instance does.
    std::optional<LeaseRecord> otherHolder() const;

    const PlacementLease& lease() const { return m_lease; }

    /// Returns the time that a new holder lets pass before its first order.
    std::chrono::nanoseconds handoverPause() const;

    /// Notes that this instance took its own demand as the holder.
    void recordHolderContact();

    /// Notes the version of the lease that its holder stated in an answer.
    void recordRenewalByHolder(const LeaseRecord& holder, std::uint64_t version);

    /// Notes that the instance which held the lease says that it does not.
    void invalidateHolder();

private:
    boost::asio::awaitable<void> readLease();
    boost::asio::awaitable<void> writeLease();
    bool shouldWrite() const;
    void delayClaim();

    FrontState& m_state;
    FrontBinding& m_binding;
    FrontMetrics& m_metrics;
    Address m_ownAddress;
    PlacementLease m_lease;
    std::optional<SteadyTime> m_pendingWriteSentAt; ///< when a write of the lease was sent that got no answer
    bool m_mustRead = true;
    bool m_isReleased = false;
    bool m_wasHolder = false;
    std::optional<SteadyTime> m_lastHolderContact; ///< with the holder
    SteadyTime m_lastRead {};
    SteadyTime m_earliestClaim {}; ///< before it, the lease of another instance is left alone
};

} // namespace bulrushstack
