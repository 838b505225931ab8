#include "quarantine_store.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

const RowId quarantineRowId { .table = "placement", .key = "quarantine" };

constexpr unsigned loadAttempts = 5;
constexpr std::chrono::milliseconds loadRetryDelay { 500 };
constexpr std::chrono::milliseconds storeCallTimeout { 900 };

/// Returns a transaction that writes the row, or removes it if there are no crashes, if the lease's row still has the
/// given version.
Transaction makeQuarantineTransaction(RowVersion leaseVersion, const std::vector<UpstreamCrash>& crashes)
{
    RowWrite write { .id = quarantineRowId };
    if (!crashes.empty())
        write.value = encodeCrashes(crashes);
    return { .conditions = { { .id = leaseRowId, .version = leaseVersion } }, .writes = { std::move(write) } };
}

} // namespace

QuarantineStore::QuarantineStore(FrontState& state, FrontBinding& binding, const LeaseManager& leaseManager)
    : m_state(state)
    , m_binding(binding)
    , m_leaseManager(leaseManager)
{
}

asio::awaitable<void> QuarantineStore::load()
{
    for (unsigned i = 0; i < loadAttempts; ++i) {
        auto row = co_await m_binding.tableService().read(quarantineRowId, m_state.clock().now() + storeCallTimeout);
        if (!row) {
            LOG(INFO) << "event=quarantine-read-failed error=\"" << row.error().code.message() << ": "
                      << row.error().detail << "\"";
            co_await sleepFor(m_state.context(), loadRetryDelay);
            continue;
        }
        if (!*row)
            co_return;
        auto crashes = decodeCrashes((*row)->value);
        if (!crashes) {
            LOG(WARNING) << "event=quarantine-unreadable version=" << (*row)->version << " error=\""
                         << crashes.error().detail << "\"";
            co_return;
        }
        m_state.mergeCrashes(*crashes);
        m_saved = m_state.crashSuspects().quarantined();
        co_return;
    }
}

asio::awaitable<void> QuarantineStore::saveIfChanged()
{
    const auto quarantined = m_state.crashSuspects().quarantined();
    if (!m_leaseManager.isHolder())
        co_return;
    const auto& lease = m_leaseManager.lease();
    const auto restorations = restorationsOf(lease.expectedVersion());
    const bool isLost = restorations != m_restorations && !quarantined.empty();
    if (quarantined == m_saved && !isLost) {
        m_restorations = restorations;
        co_return;
    }
    auto transaction = makeQuarantineTransaction(lease.expectedVersion(), m_state.crashSuspects().quarantineEvidence());
    auto version
        = co_await m_binding.tableService().commit(std::move(transaction), m_state.clock().now() + storeCallTimeout);
    LOG(INFO) << "event=quarantine-saved suspects=" << quarantined.size() << " fence=" << lease.fence() << " error=\""
              << (version ? "" : version.error().detail) << "\"";
    if (!version)
        co_return;
    m_saved = quarantined;
    m_restorations = restorationsOf(*version);
}

} // namespace bulrushstack
