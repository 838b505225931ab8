#include "bulrushstack/relay/table_log.h"

#include <algorithm>

namespace bulrushstack {

namespace {

/// Removed rows that are remembered. An instance that is further behind reads the whole table.
constexpr std::size_t maxRemovals = 500;

bool isRemoved(const Row& row) { return row.version == 0 || row.value.is_discarded(); }

} // namespace

void TableLog::reset(const TableSnapshot& snapshot)
{
    clear();
    for (const auto& row : snapshot.rows) {
        if (!isRemoved(row))
            m_rows[row.id.key] = row;
    }
    m_version = snapshot.version;
    m_historyStart = snapshot.version;
    m_lastChange = snapshot.version;
    m_hasContent = true;
}

void TableLog::record(const Row& row, RowVersion tableVersion)
{
    if (isRemoved(row)) {
        m_rows.erase(row.id.key);
        m_removals[row.id.key] = tableVersion;
        dropOldestRemovals();
    } else {
        m_removals.erase(row.id.key);
        m_rows[row.id.key] = row;
    }
    m_lastChange = std::max({ m_lastChange, tableVersion, row.version });
    advance(tableVersion);
}

void TableLog::advance(RowVersion tableVersion) { m_version = std::max(m_version, tableVersion); }

void TableLog::clear() { *this = TableLog(); }

void TableLog::dropOldestRemovals()
{
    if (m_removals.size() <= maxRemovals)
        return;
    auto oldest = std::min_element(
        m_removals.begin(), m_removals.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    m_historyStart = std::max(m_historyStart, oldest->second);
    m_removals.erase(oldest);
}

std::optional<TableChanges> TableLog::changesAfter(RowVersion after) const
{
    if (!m_hasContent || after < m_historyStart)
        return std::nullopt;
    TableChanges out { .version = m_version };
    for (const auto& [key, row] : m_rows) {
        if (row.version > after)
            out.rows.push_back(row);
    }
    for (const auto& [key, version] : m_removals) {
        if (version > after)
            out.rows.push_back({ .id = { .key = key } });
    }
    return out;
}

bool TableLog::hasChangesAfter(RowVersion after) const
{
    return !m_hasContent || after < m_historyStart || m_lastChange > after;
}

TableSnapshot TableLog::snapshot() const
{
    TableSnapshot out { .version = m_version };
    out.rows.reserve(m_rows.size());
    for (const auto& [key, row] : m_rows)
        out.rows.push_back(row);
    return out;
}

} // namespace bulrushstack
