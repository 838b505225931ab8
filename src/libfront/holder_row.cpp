#include "holder_row.h"

#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds storeCallTimeout { 900 };

} // namespace

HolderRow::HolderRow(FrontState& state, FrontBinding& binding, const LeaseManager& leaseManager, RowId id)
    : m_state(state)
    , m_binding(binding)
    , m_leaseManager(leaseManager)
    , m_id(std::move(id))
{
}

asio::awaitable<Result<std::optional<Row>>> HolderRow::read()
{
    auto row = co_await m_binding.tableService().read(m_id, m_state.clock().now() + storeCallTimeout);
    if (!row)
        LOG(INFO) << "event=" << m_id.key << "-read-failed error=\"" << row.error().code.message() << ": "
                  << row.error().detail << "\"";
    co_return row;
}

bool HolderRow::isStoreRestored() const
{
    return restorationsOf(m_leaseManager.lease().expectedVersion()) != m_restorations;
}

void HolderRow::recordNothingToWrite() { m_restorations = restorationsOf(m_leaseManager.lease().expectedVersion()); }

asio::awaitable<Result<void>> HolderRow::write(std::optional<nlohmann::json> value)
{
    const auto& lease = m_leaseManager.lease();
    Transaction transaction { .conditions = { { .id = leaseRowId, .version = lease.expectedVersion() } },
        .writes = { { .id = m_id, .value = std::move(value) } } };
    auto version
        = co_await m_binding.tableService().commit(std::move(transaction), m_state.clock().now() + storeCallTimeout);
    LOG(INFO) << "event=" << m_id.key << "-saved fence=" << lease.fence() << " error=\""
              << (version ? "" : version.error().detail) << "\"";
    if (!version)
        co_return version.error();
    m_restorations = restorationsOf(*version);
    co_return Result<void>();
}

} // namespace bulrushstack
