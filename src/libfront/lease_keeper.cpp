#include "lease_keeper.h"

#include "bulrushstack/kernel/tasks.h"
#include "bulrushstack/serving/demand_report_schedule.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

const RowId leaseRow { .table = "placement", .key = "lease" };

constexpr std::chrono::milliseconds leaseTick { 100 };
constexpr std::chrono::milliseconds leaseStartSpread { 250 }; ///< instances start together; one of them writes first
constexpr std::chrono::milliseconds leaseCallTimeout { 900 };
constexpr std::chrono::milliseconds leaseReadInterval { 800 };
constexpr std::chrono::milliseconds leaseFailurePause { 250 };
constexpr std::chrono::milliseconds renewalPrecedence { 1400 }; ///< more than a renewal and its pause take
constexpr std::chrono::milliseconds leaseValidity { 2000 }; ///< longer than a store that is slow takes for a renewal
constexpr std::chrono::milliseconds leaseRenewInterval { 700 };
constexpr std::chrono::milliseconds handoverMargin { 250 }; ///< beside the period that the platform demands

LeaseOptions leaseOptions(const FrontState& state)
{
    return { .instanceId = state.instanceId(),
        .validity = leaseValidity,
        .handoverPause = state.bounds().leasePeriod + handoverMargin,
        .renewInterval = leaseRenewInterval };
}

/// Returns the write of the lease's row, on condition of its version; an empty holder gives the lease back.
Transaction leaseWrite(std::uint64_t version, const std::string& holder, const std::string& address)
{
    return { .conditions = { { .id = leaseRow, .version = version } },
        .writes = { { .id = leaseRow, .value = nlohmann::json { { "holder", holder }, { "address", address } } } } };
}

} // namespace

LeaseKeeper::LeaseKeeper(FrontState& state, FrontBinding& binding, FrontMetrics& metrics, Address ownAddress)
    : m_state(state)
    , m_binding(binding)
    , m_metrics(metrics)
    , m_ownAddress(std::move(ownAddress))
    , m_lease(leaseOptions(state))
{
}

bool LeaseKeeper::isHolder() const { return m_lease.isHolder(m_state.clock().bootNow()); }

bool LeaseKeeper::mayOrder() const { return !m_isReleased && m_lease.maySendOrders(m_state.clock().bootNow()); }

bool LeaseKeeper::isInContact() const
{
    return m_lastContact
        && m_state.clock().now() - *m_lastContact < DemandReportSchedule(m_state.instances()).holderTimeout();
}

void LeaseKeeper::noteContact() { m_lastContact = m_state.clock().now(); }

void LeaseKeeper::noteRenewedByHolder(const LeaseRecord& holder, std::uint64_t version)
{
    LeaseRecord renewed = holder;
    renewed.version = version;
    m_lease.observe(std::move(renewed), m_state.clock().bootNow());
    noteContact();
}

void LeaseKeeper::noteHolderGone()
{
    m_lastContact.reset();
    m_mustRead = true;
}

std::chrono::nanoseconds LeaseKeeper::handoverPause() const { return leaseOptions(m_state).handoverPause; }

asio::awaitable<void> LeaseKeeper::run()
{
    co_await sleepFor(m_state.context(), std::chrono::milliseconds(m_state.random() % leaseStartSpread.count()));
    while (!m_isReleased) {
        const auto now = m_state.clock().bootNow();
        const bool isHolder = m_lease.isHolder(now);
        if (isHolder != m_wasHolder) {
            LOG(INFO) << "event=" << (isHolder ? "lease-acquired" : "lease-lost") << " fence=" << m_lease.fence()
                      << " version=" << m_lease.expectedVersion();
            m_metrics.setHolder(isHolder);
            m_wasHolder = isHolder;
        }
        const bool isReadDue = now - m_lastRead >= leaseReadInterval;
        if (m_mustRead || (!isHolder && !isInContact() && isReadDue))
            co_await read();
        if (shouldWrite())
            co_await write();
        co_await sleepFor(m_state.context(), leaseTick);
    }
}

bool LeaseKeeper::shouldWrite() const
{
    const auto now = m_state.clock().bootNow();
    return m_lease.shouldWrite(now) && (m_lease.isOwn() || (!isInContact() && now >= m_claimFrom));
}

std::optional<LeaseRecord> LeaseKeeper::otherHolder() const
{
    const auto& record = m_lease.record();
    return !record || record->holder.empty() || m_lease.isOwn() ? std::nullopt : record;
}

asio::awaitable<void> LeaseKeeper::read()
{
    m_lastRead = m_state.clock().bootNow();
    auto row = co_await m_binding.tables().read(leaseRow, m_state.clock().now() + leaseCallTimeout);
    if (!row) {
        noteStoreFailure();
        co_await sleepFor(m_state.context(), leaseFailurePause);
        co_return;
    }
    m_mustRead = false;
    const auto now = m_state.clock().bootNow();
    if (!*row) {
        m_lease.observe(std::nullopt, now);
        co_return;
    }
    const auto& value = (*row)->value;
    LeaseRecord record { .version = (*row)->version };
    if (value.is_object()) {
        record.holder = value.value("holder", "");
        record.address = parseAddress(value.value("address", "")).value_or(Address());
    }
    const bool isOwnWrite
        = m_unansweredWrite && record.holder == m_state.instanceId() && record.version > m_lease.expectedVersion();
    if (isOwnWrite)
        m_lease.recordWrite(record.version, m_ownAddress, *m_unansweredWrite);
    else
        m_lease.observe(std::move(record), now);
    m_unansweredWrite.reset();
}

asio::awaitable<void> LeaseKeeper::write()
{
    const auto sentAt = m_state.clock().bootNow();
    auto change = leaseWrite(m_lease.expectedVersion(), m_state.instanceId(), m_ownAddress.toString());
    auto version = co_await m_binding.tables().commit(std::move(change), m_state.clock().now() + leaseCallTimeout);
    if (version) {
        m_lease.recordWrite(*version, m_ownAddress, sentAt);
        co_return;
    }
    LOG(INFO) << "event=lease-write-failed version=" << m_lease.expectedVersion() << " error=\""
              << version.error().code.message() << ": " << version.error().detail << "\"";
    m_mustRead = true;
    if (version.error().code == Errc::Conflict) {
        m_lease.recordLoss();
        co_return;
    }
    m_unansweredWrite = sentAt;
    noteStoreFailure();
    co_await sleepFor(m_state.context(), leaseFailurePause);
}

/// After an outage of the store the last holder can go on at once, while another instance has to wait for the handover
/// pause. The others therefore leave it time to renew the lease.
void LeaseKeeper::noteStoreFailure() { m_claimFrom = m_state.clock().bootNow() + renewalPrecedence; }

asio::awaitable<void> LeaseKeeper::release()
{
    const bool wasHolder = isHolder();
    m_isReleased = true;
    if (!wasHolder)
        co_return;
    auto change = leaseWrite(m_lease.expectedVersion(), "", "");
    auto released = co_await m_binding.tables().commit(std::move(change), m_state.clock().now() + leaseCallTimeout);
    LOG(INFO) << "event=lease-released fence=" << m_lease.fence() << " error=\""
              << (released ? "" : released.error().detail) << "\"";
}

} // namespace bulrushstack
