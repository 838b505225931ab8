#include "bulrushstack/serving/placement_lease.h"

#include <algorithm>

namespace bulrushstack {

namespace {

SteadyTime after(SteadyTime time, std::chrono::nanoseconds duration)
{
    return time + std::chrono::duration_cast<SteadyTime::duration>(duration);
}

} // namespace

PlacementLease::PlacementLease(LeaseOptions options)
    : m_options(std::move(options))
{
}

void PlacementLease::observe(std::optional<LeaseRecord> record, SteadyTime now)
{
    const std::uint64_t known = expectedVersion();
    const std::uint64_t seen = record ? record->version : 0;
    if (m_hasObservedRow && seen == known)
        return;
    if (m_hasObservedRow && record && seen < known)
        return; // The read is older than one already processed.
    m_hasObservedRow = true;
    m_hasOtherHeld = m_hasOtherHeld || isHeldByOther();
    m_hasLostRow = m_hasLostRow || (m_record && !record);
    m_record = std::move(record);
    m_recordChangedAt = now;
    if (!isOwn() || m_record->isFromCopy)
        m_validUntil.reset();
}

bool PlacementLease::shouldWrite(SteadyTime now) const
{
    if (!m_hasObservedRow)
        return false;
    if (isHolder(now))
        return now >= after(*m_lastWriteSentAt, m_options.renewInterval);
    if (mayOtherHold(now))
        return now >= after(m_recordChangedAt, m_options.validity);
    // A row of an earlier process of this instance can be taken over at once, since that process no longer sends
    // orders.
    return !m_record || m_record->holder.empty() || isOwn();
}

/// Returns whether another instance may hold the lease, as far as the row says. A row from a copy, or one that the copy
/// does not have, says nothing of a holder since, unless the lease of this instance has been valid all the time.
bool PlacementLease::mayOtherHold(SteadyTime now) const
{
    if (!m_record)
        return m_hasLostRow && !isOwnLeaseUnexpired(now);
    if (m_record->isFromCopy)
        return !isOwn() || !isOwnLeaseUnexpired(now);
    return isHeldByOther();
}

bool PlacementLease::isOwnLeaseUnexpired(SteadyTime now) const
{
    return m_lastWriteSentAt && now < after(*m_lastWriteSentAt, m_options.validity);
}

void PlacementLease::recordWrite(std::uint64_t version, const Address& address, SteadyTime sentAt)
{
    const bool isRenewal = m_validUntil.has_value();
    if (!isRenewal)
        m_origin = previousHolder(sentAt);
    // A process that found no row hears only from its first write that the store was restored, so that it has not
    // waited for the end of another lease.
    const bool hasNotWaited = m_origin == LeaseOrigin::OtherInstance && !m_record && !m_hasLostRow;
    const auto pause = m_options.handoverPause + (hasNotWaited ? m_options.validity : std::chrono::nanoseconds(0));
    m_hasOtherHeld = false;
    m_hasLostRow = false;
    m_record = LeaseRecord { .holder = m_options.instanceId, .address = address, .version = version };
    m_recordChangedAt = sentAt;
    m_lastWriteSentAt = sentAt;
    m_validUntil = after(sentAt, m_options.validity);
    if (isRenewal)
        return;
    m_fence = version;
    const auto pauseEnd = m_origin == LeaseOrigin::OtherInstance ? after(sentAt, pause) : sentAt;
    m_ordersAllowedFrom = std::max(m_ordersAllowedFrom, pauseEnd);
}

bool PlacementLease::isHeldByOther() const { return m_record && !m_record->holder.empty() && !isOwn(); }

bool PlacementLease::isInHandover(SteadyTime now) const
{
    const bool isAcquiredFromOther = !isHolder(now) && previousHolder(now) == LeaseOrigin::OtherInstance;
    return isAcquiredFromOther || now < m_ordersAllowedFrom;
}

/// Returns from whom this instance acquires the lease. A restored store may name an earlier holder, or none, although
/// another instance has held the lease since. An earlier process of this instance may have ended before it could send
/// orders.
LeaseOrigin PlacementLease::previousHolder(SteadyTime now) const
{
    if (m_hasOtherHeld)
        return LeaseOrigin::OtherInstance;
    if (!m_record) {
        const bool isRestored = m_isStoreRestored || m_hasLostRow;
        return isRestored && !isOwnLeaseUnexpired(now) ? LeaseOrigin::OtherInstance : LeaseOrigin::New;
    }
    const bool isOtherRecent
        = m_record->isFromCopy ? !isOwnLeaseUnexpired(now) : m_record->isInHandover && !m_lastWriteSentAt;
    return isOwn() && !isOtherRecent ? LeaseOrigin::EarlierProcess : LeaseOrigin::OtherInstance;
}

void PlacementLease::recordLoss() { m_validUntil.reset(); }

bool PlacementLease::isHolder(SteadyTime now) const { return m_validUntil && now < *m_validUntil; }

bool PlacementLease::maySendOrders(SteadyTime now) const { return isHolder(now) && now >= m_ordersAllowedFrom; }

} // namespace bulrushstack
