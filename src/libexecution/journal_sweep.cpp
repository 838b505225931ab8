#include "service_calls_core.h"

#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

// Rows per list request. With the default interval an instance reads 10 rows/s in 0.1 requests/s, a small part of the
// 2,000 reads/s that the table service handles for all instances.
constexpr std::size_t sweepPageSize = 100;

/// Strips or removes a row if its age requires it.
asio::awaitable<void> applyRetention(ServiceCallCorePtr core, Row row)
{
    const auto& options = core->options;
    const auto action = decideOnRetention(row, core->deps.clock.wallNow(), options.retention, options.rowRemovalAge);
    if (action == RetentionAction::Keep)
        co_return;
    RowWrite write { .id = row.id, .value = std::nullopt };
    if (action == RetentionAction::StripResponse)
        write.value = toJson(stripResponse(*parseJournalEntry(row.value)));
    Transaction transaction;
    transaction.conditions.push_back({ .id = row.id, .version = row.version });
    transaction.writes.push_back(std::move(write));
    // A failure needs no handling, because the next pass over the journal processes the row again.
    co_await core->deps.tables.commit(std::move(transaction), core->storeDeadline());
}

} // namespace

asio::awaitable<void> sweepJournal(ServiceCallCorePtr core)
{
    std::string cursor;
    const auto isStopping = [core]() { return core->isDraining || core->isStopped; };
    while (!isStopping()) {
        co_await core->stopRequested.wait(core->jitteredDelay(core->options.sweepInterval, 0));
        if (isStopping())
            break;
        const auto rows = co_await core->deps.tables.list("journal", "", cursor, sweepPageSize, core->storeDeadline());
        if (!rows)
            continue;
        cursor = rows->size() < sweepPageSize ? std::string() : rows->back().id.key;
        for (std::size_t n = 0; n < rows->size() && !isStopping(); ++n)
            co_await applyRetention(core, (*rows)[n]);
    }
}

} // namespace bulrushstack
