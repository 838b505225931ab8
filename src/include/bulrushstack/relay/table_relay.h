#pragma once

#include "bulrushstack/net/http_server.h"
#include "bulrushstack/relay/relayed_table_feed.h"
#include "bulrushstack/relay/table_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace bulrushstack {

/// Passes the tables that this instance reads from the store on to other instances, while it is a reader.
class TableRelay {
public:
    TableRelay(boost::asio::io_context& context, const Clock& clock, const RelayedTableFeed& feed);

    /// Starts or stops keeping the content of the tables. Started anew, a table is passed on from its next snapshot on.
    void setActive(bool isActive);
    bool isActive() const { return m_isActive; }

    /// Receive what was read from the store; ignored while this object is not active.
    void recordSnapshot(const std::string& table, const TableSnapshot& snapshot);
    void recordRow(const std::string& table, const Row& row, RowVersion tableVersion);
    void recordVersion(const std::string& table, RowVersion tableVersion);
    void recordStoreLost();
    void recordStoreRegained();

    /// Returns whether the table has content; a reader that has none must read a snapshot.
    bool hasContent(const std::string& table) const;

    /// Returns the number of requests that were answered with rows or with the message that nothing has changed.
    std::uint64_t answers() const { return m_answers; }

    /// Answers a RelayRequest, if need be after waiting for a change.
    boost::asio::awaitable<HttpResponse> handle(const HttpRequest& request);

private:
    HttpResponse reply(const RelayRequest& request, const TableLog& log);
    bool isAfterOutage() const;
    void wakeWaiting();

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const RelayedTableFeed& m_feed;
    std::map<std::string, TableLog> m_logs;
    std::set<boost::asio::steady_timer*> m_waiting;
    std::uint64_t m_answers = 0;
    bool m_isActive = false;
    bool m_isStoreLost = false;
    std::optional<SteadyTime> m_storeRegainedAt;
};

} // namespace bulrushstack
