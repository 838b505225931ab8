#pragma once

#include "bulrushstack/platform/table_feed.h"

#include <map>
#include <optional>
#include <string>

namespace bulrushstack {

/// Content of a table with the versions of its last relevant changes, from which other instances are brought up to
/// date. Changes that concern no reader, such as heartbeats, only advance the version of the table. Performs no I/O.
///
/// The versions are those of the store, so that an instance may continue at another log or at the store itself.
class TableLog {
public:
    /// Replaces the content by a snapshot. The history begins at its version.
    void reset(const TableSnapshot& snapshot);

    /// Records a relevant change of a row. A row of version 0, or whose value is not JSON, counts as removed at
    /// `tableVersion`.
    void record(const Row& row, RowVersion tableVersion);

    /// Records that the log contains all changes up to the version.
    void advance(RowVersion tableVersion);

    /// Discards the content, so that the log must be reset before it can be used.
    void clear();

    bool hasContent() const { return m_hasContent; }
    RowVersion version() const { return m_version; }

    /// Returns the rows that changed after the version; empty if the history does not reach back to it.
    std::optional<TableChanges> changesAfter(RowVersion after) const;

    /// Returns whether changesAfter() would return rows or fail.
    bool hasChangesAfter(RowVersion after) const;

    TableSnapshot snapshot() const;

private:
    void dropOldestRemovals();

    std::map<std::string, Row> m_rows; ///< by key
    std::map<std::string, RowVersion> m_removals; ///< key to version of the table at its removal
    RowVersion m_version = 0;
    RowVersion m_historyStart = 0;
    RowVersion m_lastChange = 0;
    bool m_hasContent = false;
};

} // namespace bulrushstack
