#pragma once

#include "bulrushstack/platform/table_service.h"

namespace bulrushstack {

/// All rows of a table, and the version of the table from which to follow its changes.
struct TableSnapshot {
    std::vector<Row> rows; ///< a value that is not valid JSON is discarded (nlohmann::json::is_discarded())
    RowVersion version = 0;
    /// Whether the source of the rows lost the store shortly before. Rows may then be missing for a while.
    bool isAfterOutage = false;

    friend bool operator==(const TableSnapshot&, const TableSnapshot&) = default;
};

/// Rows that changed after a version of the table, in the order of the changes.
struct TableChanges {
    std::vector<Row> rows; ///< a row that was removed has version 0
    RowVersion version = 0; ///< version from which the next call continues
    bool isAfterOutage = false; ///< as in TableSnapshot

    friend bool operator==(const TableChanges&, const TableChanges&) = default;
};

/// Timeouts of one read of a table. The body of a response may be long and the client slow to read it; the body
/// therefore has its own timeouts, in addition to the one for the start of the response.
struct TableReadTimeouts {
    std::chrono::milliseconds responseStart { 700 }; ///< until the response starts, in addition to the requested wait
    std::chrono::milliseconds progress { 1500 }; ///< without any data during a response
    std::chrono::milliseconds total { 10'000 }; ///< from the start of a response to its end

    friend bool operator==(const TableReadTimeouts&, const TableReadTimeouts&) = default;
};

/// Interface for reading a whole table and following its changes.
class TableFeed {
public:
    virtual ~TableFeed() = default;

    /// Reads the whole table. A long table is read in several pages; the returned version is that of the first page, so
    /// that rows that change while later pages are read appear among the changes after it.
    virtual boost::asio::awaitable<Result<TableSnapshot>> snapshot(std::string table, TableReadTimeouts timeouts) = 0;

    /// Waits for changes after a version, and returns no rows if there are none within the given time. Fails with
    /// Errc::NotFound if the history does not reach back to that version; the whole table must then be read again.
    virtual boost::asio::awaitable<Result<TableChanges>> changes(
        std::string table, RowVersion after, std::chrono::milliseconds wait, TableReadTimeouts timeouts)
        = 0;
};

} // namespace bulrushstack
