#include "quarantine_store.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

const RowId quarantineRowId { .table = "placement", .key = "quarantine" };

constexpr unsigned loadAttempts = 5;
constexpr std::chrono::milliseconds loadRetryDelay { 500 };

} // namespace

QuarantineStore::QuarantineStore(FrontState& state, FrontBinding& binding, const LeaseManager& leaseManager)
    : m_state(state)
    , m_row(state, binding, leaseManager, quarantineRowId)
{
}

asio::awaitable<void> QuarantineStore::load()
{
    for (unsigned i = 0; i < loadAttempts; ++i) {
        auto row = co_await m_row.read();
        if (!row) {
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
    auto quarantined = m_state.crashSuspects().quarantined();
    if (!m_row.isHolder())
        co_return;
    const bool isLost = m_row.isStoreRestored() && !quarantined.empty();
    if (quarantined == m_saved && !isLost) {
        m_row.recordNothingToWrite();
        co_return;
    }
    std::optional<nlohmann::json> value;
    const auto evidence = m_state.crashSuspects().quarantineEvidence();
    if (!evidence.empty())
        value = encodeCrashes(evidence);
    const auto saved = co_await m_row.write(std::move(value));
    if (saved)
        m_saved = std::move(quarantined);
}

} // namespace bulrushstack
