#pragma once

#include "bulrushstack/front/front_binding.h"
#include "bulrushstack/serving/placement_lease.h"
#include "front_metrics.h"
#include "front_state.h"
#include "lease_holder.h"
#include "lease_row.h"

#include <optional>

namespace bulrushstack {

/// Manages the placement lease: reads its row, claims it when no instance holds it, renews it while this instance holds
/// it, and releases it. What the holder does with the lease is up to the caller.
class LeaseManager final : public LeaseHolder {
public:
    /// `self` has the address at which other instances reach this one while it holds the lease.
    LeaseManager(FrontState& state, FrontBinding& binding, FrontMetrics& metrics, RelayMember self);

    /// Reads, claims and renews the lease until release() is called.
    boost::asio::awaitable<void> run();

    /// Stops holding the lease at once and releases it in the store. If the store call fails, the failure is logged and
    /// the lease expires.
    boost::asio::awaitable<void> release();

    bool isReleased() const { return m_isReleased; }
    bool isHolder() const override;

    /// Returns whether orders may be sent now. They may not during the handover pause after another holder.
    bool maySendOrders() const;

    /// Returns whether the holder has replied to this instance, or to the reader that passed the reply on, within
    /// DemandReportSchedule::holderTimeout() for each of the two.
    bool hasRecentHolderContact() const;

    /// Returns the time since the last reply of the holder; max() if there is none.
    std::chrono::nanoseconds holderContactAge() const;

    /// Returns the lease if another instance holds it; empty if this instance or none does.
    std::optional<LeaseRecord> otherHolder() const;

    std::uint64_t term() const override { return m_lease.fence(); }
    std::optional<Address> reachableHolder() const override;

    const PlacementLease& lease() const { return m_lease; }

    /// Returns the time that a new holder waits before its first order.
    std::chrono::nanoseconds handoverPause() const;

    /// Records that this instance, as the holder, processed its own demand.
    void recordHolderContact();

    /// Records a renewal of the lease, which the holder named in its reply of the given age. `isRelayed` is whether a
    /// reader passed the reply on; `reporters` is the number of instances that report to the sender of the reply.
    void recordRenewalByHolder(
        LeaseRecord renewed, std::chrono::nanoseconds replyAge, bool isRelayed, unsigned reporters);

    /// Records that a reader answered which claims the lease if it lapses. This instance then leaves the row alone for
    /// a while.
    void recordReaderContact();

    /// Returns the number of instances that report to the one to which this instance reports; 0 if it is not known.
    unsigned reporterCount() const { return m_reporterCount; }

    /// Records that the instance named in the row of the lease does not hold it, according to its reply. The row is
    /// then read again.
    void invalidateHolder();

private:
    boost::asio::awaitable<void> readLease();
    boost::asio::awaitable<void> writeLease();
    bool shouldWrite() const;
    bool hasRecentReaderContact() const;
    void delayClaim();

    FrontState& m_state;
    FrontBinding& m_binding;
    FrontMetrics& m_metrics;
    RelayMember m_self;
    PlacementLease m_lease;
    /// Time at which a write of the lease was sent whose result is unknown.
    std::optional<SteadyTime> m_pendingWriteSentAt;
    bool m_mustRead = true;
    bool m_isReleased = false;
    bool m_wasHolder = false;
    /// Time of the last reply from the holder, or of the last own demand that this instance processed as the holder.
    std::optional<SteadyTime> m_lastHolderContact;
    bool m_isContactRelayed = false;
    unsigned m_reporterCount = 0;
    std::optional<SteadyTime> m_lastReaderContact;
    SteadyTime m_lastRead {};
    /// Time until which this instance does not claim the lease of another one.
    SteadyTime m_earliestClaim {};
};

} // namespace bulrushstack
