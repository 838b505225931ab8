#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/settings.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushstack {

/// Row of the placement lease in the shared table.
struct LeaseRecord {
    std::string holder; ///< Instance id of the holder; empty if the last holder released the lease.
    Address address; ///< Address at which the holder accepts demand reports and adapter requests.
    std::uint64_t version = 0; ///< Version of the row; increases with every renewal.
    /// Whether the row was restored from a copy and not written since, so that another instance may have held the lease
    /// after it.
    bool isFromCopy = false;
    /// Whether the holder wrote the row before the end of its handover pause, so that the orders of another instance
    /// may be recent.
    bool isInHandover = false;

    friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// Previous holder of the lease, as seen when this instance acquired it.
enum class LeaseOrigin {
    New, ///< The lease had no previous holder.
    EarlierProcess, ///< An earlier process with the same instance id held the lease.
    OtherInstance, ///< Another instance held or released the lease.
};

struct LeaseOptions {
    std::string instanceId;

    /// Time for which the holder may send orders after it sent the last successful renewal.
    std::chrono::nanoseconds validity = std::chrono::seconds(3);

    /// Time that a new holder waits before its first order. It exceeds the validity, so that the orders of the previous
    /// holder and those of the new one never interleave.
    std::chrono::nanoseconds handoverPause = std::chrono::milliseconds(3300);

    /// Time between two renewals.
    std::chrono::nanoseconds renewInterval = std::chrono::seconds(1);
};

/// Tracks the lease that decides which instance (the placement holder) may send load and unload orders to the
/// upstreams. Performs no I/O; the caller reads and writes the row.
///
/// All times are readings of Clock::bootNow(), which also advances while the machine is suspended. The holder counts
/// the validity from before it sent its renewal; the other instances count it from when they first read the unchanged
/// row, which is later. An instance that was suspended therefore finds its lease expired before another instance could
/// have acquired it.
class PlacementLease {
public:
    explicit PlacementLease(LeaseOptions options);

    /// Processes a read of the row; `record` is empty if the row does not exist. A read with an older version than
    /// already known is ignored. A row that was known and does not exist was lost when the store was restored.
    void observe(std::optional<LeaseRecord> record, SteadyTime now);

    /// Returns whether this instance should write the row now, either to acquire the lease or to renew it.
    bool shouldWrite(SteadyTime now) const;

    /// Returns the row version that the conditional write must expect; 0 if the row must not exist.
    std::uint64_t expectedVersion() const { return m_record ? m_record->version : 0; }

    /// Returns whether a row that is written now precedes the end of the handover pause.
    bool isInHandover(SteadyTime now) const;

    /// Records a successful write. `version` is the new version of the row, `sentAt` the time before the write was
    /// sent.
    void recordWrite(std::uint64_t version, const Address& address, SteadyTime sentAt);

    /// Records that another instance holds the lease.
    void recordLoss();

    /// Records that the store was restored from a copy. The copy may be older than the row of a holder of which this
    /// instance knows nothing.
    void recordRestoration() { m_isStoreRestored = true; }

    /// Returns whether this instance holds a valid lease.
    bool isHolder(SteadyTime now) const;

    /// Returns whether this instance holds a valid lease and the handover pause is over.
    bool maySendOrders(SteadyTime now) const;

    /// Returns the time at which the lease ends unless it is renewed, as a reading of Clock::bootNow(); empty if this
    /// instance does not hold it.
    const std::optional<SteadyTime>& validUntil() const { return m_validUntil; }

    /// Returns the fencing token for the orders: the version of the row when this instance became the holder.
    std::uint64_t fence() const { return m_fence; }

    /// Returns whether the row, as last read or written, names this instance as the holder.
    bool isOwn() const { return m_record && m_record->holder == m_options.instanceId; }

    /// Returns the kind of holder from which this instance acquired the lease.
    LeaseOrigin origin() const { return m_origin; }

    /// Returns the row as last read or written; empty if it does not exist.
    const std::optional<LeaseRecord>& record() const { return m_record; }

private:
    bool isHeldByOther() const;
    bool mayOtherHold(SteadyTime now) const;
    bool isOwnLeaseUnexpired(SteadyTime now) const;
    LeaseOrigin previousHolder(SteadyTime now) const;

    LeaseOptions m_options;
    std::optional<LeaseRecord> m_record;
    SteadyTime m_recordChangedAt {};
    bool m_hasObservedRow = false;
    /// Whether a row named another holder since this instance last wrote the row.
    bool m_hasOtherHeld = false;
    /// Whether a row that this instance knew was gone at a later read, since it last wrote the row.
    bool m_hasLostRow = false;
    bool m_isStoreRestored = false;
    std::optional<SteadyTime> m_validUntil;
    SteadyTime m_ordersAllowedFrom {};
    std::optional<SteadyTime> m_lastWriteSentAt;
    std::uint64_t m_fence = 0;
    LeaseOrigin m_origin = LeaseOrigin::New;
};

} // namespace bulrushstack
