#include "service_calls_core.h"

#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

// Rows of one look. With the default interval an instance reads 10 rows/s in 0.1 requests/s, a small part of the 2,000
// reads/s that the table service handles for all instances.
constexpr std::size_t RowsPerLook = 100;

asio::awaitable<void> careFor(ServiceCallCorePtr core, Row row)
{
    const auto& options = core->options;
    const auto care = decideOnAge(row, core->deps.clock.wallNow(), options.retention, options.removalAge);
    if (care == RowCare::Keep)
        co_return;
    RowWrite write { .id = row.id, .value = std::nullopt };
    if (care == RowCare::Strip)
        write.value = toJson(stripAnswer(*parseJournalEntry(row.value)));
    Transaction transaction;
    transaction.conditions.push_back({ .id = row.id, .version = row.version });
    transaction.writes.push_back(std::move(write));
    // A failure needs no handling, because the next pass finds the row again.
    co_await core->deps.tables.commit(std::move(transaction), core->storeDeadline());
}

} // namespace

asio::awaitable<void> sweepJournal(ServiceCallCorePtr core)
{
    std::string cursor;
    while (!core->isStopped) {
        co_await core->stopped.wait(core->jitteredDelay(core->options.sweepInterval, 0));
        if (core->isStopped)
            break;
        const auto rows = co_await core->deps.tables.list("journal", "", cursor, RowsPerLook, core->storeDeadline());
        if (!rows)
            continue;
        cursor = rows->size() < RowsPerLook ? std::string() : rows->back().id.key;
        for (std::size_t n = 0; n < rows->size() && !core->isStopped; ++n)
            co_await careFor(core, (*rows)[n]);
    }
}

} // namespace bulrushstack
