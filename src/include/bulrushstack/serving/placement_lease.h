#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/settings.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushstack {

/// The lease as it stands in the shared table.
struct LeaseRecord {
    std::string holder; ///< instance id; empty if the last holder gave the lease back
    Address address; ///< where the holder takes demand and adapter requests
    std::uint64_t version = 0; ///< of the row; increases with every renewal

    friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// Who held the lease before its present holder.
enum class LeaseOrigin {
    New, ///< nobody
    EarlierProcess, ///< an earlier process on the same instance
    OtherInstance,
};

struct LeaseOptions {
    std::string instanceId;

    /// Time after a renewal was sent until which the holder may give orders.
    std::chrono::nanoseconds validity = std::chrono::seconds(3);

    /// Time that a new holder waits before its first order, so that orders of two holders never take turns.
    std::chrono::nanoseconds handoverPause = std::chrono::milliseconds(3300);

    std::chrono::nanoseconds renewInterval = std::chrono::seconds(1);
};

/// Decides who may give orders to the upstreams. No I/O.
///
/// All times are readings of Clock::bootNow(). The holder counts the validity from before its request was sent; the
/// others count it from when they first saw the row unchanged, which is later. An instance that was suspended thus
/// finds its lease expired before another one could have taken it.
class PlacementLease {
public:
    explicit PlacementLease(LeaseOptions options);

    /// Takes a reading of the row; empty if there is none yet.
    void observe(std::optional<LeaseRecord> record, SteadyTime now);

    /// Returns whether this instance should try to write the row now, either to claim the lease or to renew it.
    bool shouldWrite(SteadyTime now) const;

    /// Returns the version that the row must have for the write; 0 if it must be absent.
    std::uint64_t expectedVersion() const { return m_record ? m_record->version : 0; }

    /// Notes a write that took effect; `sentAt` is the time before it was sent.
    void recordWrite(std::uint64_t version, const Address& address, SteadyTime sentAt);

    /// Notes that another instance holds the lease.
    void recordLoss();

    bool isHolder(SteadyTime now) const;

    /// Returns whether an order may be sent now.
    bool maySendOrders(SteadyTime now) const;

    /// Returns the fencing token of the orders: the version of the row at which this instance became the holder.
    std::uint64_t fence() const { return m_fence; }

    /// Returns whether the row, as last read, names this instance.
    bool isOwn() const { return m_record && m_record->holder == m_options.instanceId; }

    /// Returns from whom this instance has the lease.
    LeaseOrigin origin() const { return m_origin; }

    /// Returns the holder as last read.
    const std::optional<LeaseRecord>& record() const { return m_record; }

private:
    LeaseOptions m_options;
    std::optional<LeaseRecord> m_record;
    SteadyTime m_recordChangedAt {};
    bool m_hasObservedRow = false;
    std::optional<SteadyTime> m_validUntil;
    SteadyTime m_ordersAllowedFrom {};
    SteadyTime m_lastWriteSentAt {};
    std::uint64_t m_fence = 0;
    LeaseOrigin m_origin = LeaseOrigin::New;
};

} // namespace bulrushstack
