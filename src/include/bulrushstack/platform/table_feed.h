#pragma once

#include "bulrushstack/platform/table_service.h"

namespace bulrushstack {

/// Rows of a table, and the version of the table at which they were read.
struct TableSnapshot {
    std::vector<Row> rows; ///< a value that cannot be read as JSON is discarded (nlohmann::json::is_discarded())
    RowVersion version = 0;

    friend bool operator==(const TableSnapshot&, const TableSnapshot&) = default;
};

/// Rows that changed, in the order of their changes.
struct TableChanges {
    std::vector<Row> rows; ///< with version 0 if the row was removed
    RowVersion version = 0; ///< where the next call goes on

    friend bool operator==(const TableChanges&, const TableChanges&) = default;
};

/// Time limits of one reading of a table. The body of an answer may be long and the reader slow, so that it is limited
/// by its progress rather than by one deadline with the wait for it.
struct TableReadTimeouts {
    std::chrono::milliseconds responseStart { 700 }; ///< until an answer begins, beside the wait that was asked for
    std::chrono::milliseconds progress { 1500 }; ///< longest silence within an answer
    std::chrono::milliseconds total { 10'000 }; ///< from the beginning of an answer to its end

    friend bool operator==(const TableReadTimeouts&, const TableReadTimeouts&) = default;
};

/// Reads a table as a whole and follows its changes.
class TableFeed {
public:
    virtual ~TableFeed() = default;

    /// Reads the whole table. Several readings are joined if the table is long; what changes meanwhile is in the
    /// changes after the version of the first one.
    virtual boost::asio::awaitable<Result<TableSnapshot>> snapshot(std::string table, TableReadTimeouts timeouts) = 0;

    /// Waits for changes after a version, at most for the given time; then there are none. Fails with Errc::NotFound
    /// if the history does not reach back that far, so that the table has to be read as a whole.
    virtual boost::asio::awaitable<Result<TableChanges>> changes(
        std::string table, RowVersion after, std::chrono::milliseconds wait, TableReadTimeouts timeouts)
        = 0;
};

} // namespace bulrushstack
