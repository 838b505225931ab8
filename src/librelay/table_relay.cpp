#include "bulrushstack/relay/table_relay.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds maxWait { 2000 };
/// Time after an outage of the store during which answers mention it, so that each instance keeps the entries that
/// expired in the outage for a while.
constexpr std::chrono::seconds outageNoticeTime { 2 };

} // namespace

TableRelay::TableRelay(asio::io_context& context, const Clock& clock, const RelayedTableFeed& feed)
    : m_context(context)
    , m_clock(clock)
    , m_feed(feed)
{
}

void TableRelay::setActive(bool isActive)
{
    if (isActive == m_isActive)
        return;
    m_isActive = isActive;
    m_logs.clear();
    wakeWaiting();
}

void TableRelay::recordSnapshot(const std::string& table, const TableSnapshot& snapshot)
{
    if (!m_isActive)
        return;
    m_logs[table].reset(snapshot);
    wakeWaiting();
}

void TableRelay::recordRow(const std::string& table, const Row& row, RowVersion tableVersion)
{
    auto it = m_logs.find(table);
    if (it == m_logs.end())
        return;
    it->second.record(row, tableVersion);
    wakeWaiting();
}

void TableRelay::recordVersion(const std::string& table, RowVersion tableVersion)
{
    if (auto it = m_logs.find(table); it != m_logs.end())
        it->second.advance(tableVersion);
}

void TableRelay::recordStoreLost() { m_isStoreLost = true; }

void TableRelay::recordStoreRegained()
{
    if (m_isStoreLost)
        m_storeRegainedAt = m_clock.now();
    m_isStoreLost = false;
}

bool TableRelay::hasContent(const std::string& table) const
{
    auto it = m_logs.find(table);
    return it != m_logs.end() && it->second.hasContent();
}

bool TableRelay::isAfterOutage() const
{
    return m_isStoreLost || (m_storeRegainedAt && m_clock.now() - *m_storeRegainedAt < outageNoticeTime);
}

asio::awaitable<HttpResponse> TableRelay::handle(const HttpRequest& httpRequest)
{
    const auto request = decodeRelayRequest(httpRequest.body);
    if (!request)
        co_return jsonErrorResponse(400, "malformed request");
    const auto deadline = m_clock.now() + std::min(request->wait, maxWait);
    for (;;) {
        auto it = m_logs.find(request->table);
        if (it == m_logs.end() || !it->second.hasContent())
            co_return jsonErrorResponse(409, "not a reader of this table");
        if (m_feed.storeReadAge() > maxRelayAge)
            co_return jsonErrorResponse(503, "cut off from the store");
        const bool isDue = request->isSnapshot || it->second.hasChangesAfter(request->after);
        if (isDue || m_clock.now() >= deadline)
            co_return reply(*request, it->second);
        asio::steady_timer timer(m_context, deadline);
        m_waiting.insert(&timer);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        m_waiting.erase(&timer);
    }
}

HttpResponse TableRelay::reply(const RelayRequest& request, const TableLog& log)
{
    ++m_answers;
    RelayReply out { .version = log.version(),
        .age = std::chrono::ceil<milliseconds>(m_feed.storeReadAge()),
        .isAfterOutage = isAfterOutage() };
    if (request.isSnapshot) {
        out.rows = log.snapshot().rows;
        return jsonResponse(200, encode(out));
    }
    auto changes = log.changesAfter(request.after);
    if (!changes)
        return jsonErrorResponse(410, "the history does not reach back to this version");
    out.rows = std::move(changes->rows);
    return jsonResponse(200, encode(out));
}

void TableRelay::wakeWaiting()
{
    for (auto* it : m_waiting)
        it->cancel();
}

} // namespace bulrushstack
