#include "lease_manager.h"

#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/serving/demand_report_schedule.h"
#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds leaseLoopInterval { 100 };
/// Maximum random delay at the start. Instances start together, and the delay lets one of them write the lease first.
constexpr std::chrono::milliseconds leaseStartJitter { 250 };
/// Delay at the start of an instance with hardly any share of a processor. The holder plans for all instances, so that
/// instances with a larger share claim the lease first.
constexpr std::chrono::milliseconds smallInstanceDelay { 600 };
/// Time for which an instance relies on a reader to claim the lease.
constexpr std::chrono::milliseconds readerContactTimeout { 3000 };
constexpr std::chrono::milliseconds leaseCallTimeout { 900 };
constexpr std::chrono::milliseconds leaseReadInterval { 800 };
constexpr std::chrono::milliseconds leaseRetryDelay { 250 };
/// Time for which the other instances leave the lease to its last holder after a store failure. It is longer than a
/// renewal and the delay before its retry take.
constexpr std::chrono::milliseconds claimDelayAfterStoreFailure { 1400 };
/// Time for which a renewal is valid. It is longer than a renewal takes with a slow store.
constexpr std::chrono::milliseconds leaseValidity { 2000 };
constexpr std::chrono::milliseconds leaseRenewInterval { 700 };
/// Time added to the period that the platform requires between orders of two holders.
constexpr std::chrono::milliseconds handoverMargin { 250 };

LeaseOptions leaseOptions(const FrontState& state)
{
    return { .instanceId = state.instanceId(),
        .validity = leaseValidity,
        .handoverPause = state.platformLimits().leasePeriod + handoverMargin,
        .renewInterval = leaseRenewInterval };
}

} // namespace

LeaseManager::LeaseManager(FrontState& state, FrontBinding& binding, FrontMetrics& metrics, RelayMember self)
    : m_state(state)
    , m_binding(binding)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_lease(leaseOptions(state))
{
}

bool LeaseManager::isHolder() const { return m_lease.isHolder(m_state.clock().bootNow()); }

bool LeaseManager::maySendOrders() const { return !m_isReleased && m_lease.maySendOrders(m_state.clock().bootNow()); }

bool LeaseManager::hasRecentHolderContact() const
{
    const auto timeout = DemandReportSchedule(m_reporterCount).holderTimeout();
    return holderContactAge() < (m_isContactRelayed ? 2 * timeout : timeout);
}

std::chrono::nanoseconds LeaseManager::holderContactAge() const
{
    return m_lastHolderContact ? m_state.clock().now() - *m_lastHolderContact : std::chrono::nanoseconds::max();
}

void LeaseManager::recordHolderContact()
{
    m_lastHolderContact = m_state.clock().now();
    m_isContactRelayed = false;
}

void LeaseManager::recordRenewalByHolder(
    LeaseRecord renewed, std::chrono::nanoseconds replyAge, bool isRelayed, unsigned reporters)
{
    m_lease.observe(std::move(renewed), m_state.clock().bootNow());
    m_lastHolderContact = m_state.clock().now() - std::chrono::duration_cast<SteadyTime::duration>(replyAge);
    m_isContactRelayed = isRelayed;
    m_reporterCount = reporters;
}

void LeaseManager::recordReaderContact() { m_lastReaderContact = m_state.clock().now(); }

bool LeaseManager::hasRecentReaderContact() const
{
    return m_lastReaderContact && m_state.clock().now() - *m_lastReaderContact < readerContactTimeout;
}

void LeaseManager::invalidateHolder()
{
    m_lastHolderContact.reset();
    m_mustRead = true;
}

std::chrono::nanoseconds LeaseManager::handoverPause() const { return leaseOptions(m_state).handoverPause; }

asio::awaitable<void> LeaseManager::run()
{
    const auto sizeDelay = std::chrono::duration_cast<std::chrono::milliseconds>(
        smallInstanceDelay * std::clamp(1 - m_self.processorShare, 0.0, 1.0));
    co_await sleepFor(
        m_state.context(), sizeDelay + std::chrono::milliseconds(m_state.random() % leaseStartJitter.count()));
    while (!m_isReleased) {
        const auto now = m_state.clock().bootNow();
        const bool isHolder = m_lease.isHolder(now);
        if (isHolder != m_wasHolder) {
            LOG(INFO) << "event=" << (isHolder ? "lease-acquired" : "lease-lost") << " fence=" << m_lease.fence()
                      << " version=" << m_lease.expectedVersion();
            m_metrics.setLeaseHolder(isHolder);
            m_wasHolder = isHolder;
        }
        const bool isReadDue = now - m_lastRead >= leaseReadInterval;
        const bool isReadUseful = !isHolder && !hasRecentHolderContact() && !hasRecentReaderContact();
        if (m_mustRead || (isReadUseful && isReadDue))
            co_await readLease();
        if (shouldWrite())
            co_await writeLease();
        co_await sleepFor(m_state.context(), leaseLoopInterval);
    }
}

bool LeaseManager::shouldWrite() const
{
    const auto now = m_state.clock().bootNow();
    const bool mayClaim = !hasRecentHolderContact() && !hasRecentReaderContact() && now >= m_earliestClaim;
    // A holder that cannot reach the upstreams leaves the lease to another instance.
    return !m_state.reachability().isCutOff() && m_lease.shouldWrite(now) && (m_lease.isOwn() || mayClaim);
}

std::optional<LeaseRecord> LeaseManager::otherHolder() const
{
    const auto& record = m_lease.record();
    return !record || record->holder.empty() || m_lease.isOwn() ? std::nullopt : record;
}

std::optional<Address> LeaseManager::reachableHolder() const
{
    const auto holder = otherHolder();
    return holder && hasRecentHolderContact() ? std::optional(holder->address) : std::nullopt;
}

asio::awaitable<void> LeaseManager::readLease()
{
    m_lastRead = m_state.clock().bootNow();
    auto row = co_await m_binding.tableService().read(leaseRowId, m_state.clock().now() + leaseCallTimeout);
    if (!row) {
        delayClaim();
        co_await sleepFor(m_state.context(), leaseRetryDelay);
        co_return;
    }
    m_mustRead = false;
    const auto now = m_state.clock().bootNow();
    if (!*row) {
        m_lease.observe(std::nullopt, now);
        co_return;
    }
    auto record = decodeLeaseRow(**row);
    const bool isOwnWrite = m_pendingWriteSentAt && record.holder == m_state.instanceId() && !record.isFromCopy
        && record.version > m_lease.expectedVersion();
    if (isOwnWrite)
        m_lease.recordWrite(record.version, m_self.address, *m_pendingWriteSentAt);
    else
        m_lease.observe(std::move(record), now);
    m_pendingWriteSentAt.reset();
}

asio::awaitable<void> LeaseManager::writeLease()
{
    const auto sentAt = m_state.clock().bootNow();
    const LeaseRecord record {
        .holder = m_state.instanceId(), .address = m_self.address, .isInHandover = m_lease.isInHandover(sentAt)
    };
    auto transaction = makeLeaseTransaction(m_lease.expectedVersion(), record);
    auto version
        = co_await m_binding.tableService().commit(std::move(transaction), m_state.clock().now() + leaseCallTimeout);
    if (version) {
        if (restorationsOf(*version) > 0)
            m_lease.recordRestoration();
        m_lease.recordWrite(*version, m_self.address, sentAt);
        co_return;
    }
    LOG(INFO) << "event=lease-write-failed version=" << m_lease.expectedVersion() << " error=\""
              << version.error().code.message() << ": " << version.error().detail << "\"";
    m_mustRead = true;
    if (version.error().code == Errc::Conflict) {
        m_lease.recordLoss();
        co_return;
    }
    m_pendingWriteSentAt = sentAt;
    delayClaim();
    co_await sleepFor(m_state.context(), leaseRetryDelay);
}

/// After an outage of the store the last holder can continue at once, while another instance would have to wait for the
/// handover pause. The other instances therefore give the last holder time to renew the lease.
void LeaseManager::delayClaim() { m_earliestClaim = m_state.clock().bootNow() + claimDelayAfterStoreFailure; }

asio::awaitable<void> LeaseManager::release()
{
    const bool wasHolder = isHolder();
    m_isReleased = true;
    if (!wasHolder)
        co_return;
    auto transaction = makeLeaseTransaction(m_lease.expectedVersion(), LeaseRecord());
    auto released
        = co_await m_binding.tableService().commit(std::move(transaction), m_state.clock().now() + leaseCallTimeout);
    LOG(INFO) << "event=lease-released fence=" << m_lease.fence() << " error=\""
              << (released ? "" : released.error().detail) << "\"";
}

} // namespace bulrushstack
