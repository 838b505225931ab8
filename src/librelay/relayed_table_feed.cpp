#include "bulrushstack/relay/relayed_table_feed.h"

#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds maxRelayWait { 500 };
/// Time until a reader's answer begins, in addition to the time for which it may wait for changes.
constexpr milliseconds relayTimeout { 400 };
/// A whole table over a slow link takes longer than an answer with a few rows.
constexpr milliseconds relayProgressTimeout { 400 };
constexpr milliseconds relayBodyTimeout { 1400 };
constexpr milliseconds relayConnectTimeout { 250 };
/// While all readers fail, the store is asked with a short wait, so that a usable reader is noticed.
constexpr milliseconds maxStoreWaitWithReaders { 1000 };
constexpr std::uint64_t maxReplySize = 16 * 1024 * 1024;

Failure noReader() { return unavailableFailure("no reader is usable"); }

SteadyTime timeAfter(SteadyTime time, std::chrono::nanoseconds duration)
{
    return time + std::chrono::duration_cast<SteadyTime::duration>(duration);
}

} // namespace

RelayedTableFeed::RelayedTableFeed(HttpClient& client, const Clock& clock, ReaderSelector& selector, TableFeed& store)
    : m_client(client)
    , m_clock(clock)
    , m_selector(selector)
    , m_store(store)
{
}

asio::awaitable<Result<TableSnapshot>> RelayedTableFeed::snapshot(std::string table, TableReadTimeouts timeouts)
{
    const RelayRequest request { .table = table, .isSnapshot = true };
    auto relayed = co_await readFromReaders(request);
    if (relayed)
        co_return TableSnapshot {
            .rows = std::move(relayed->rows), .version = relayed->version, .isAfterOutage = relayed->isAfterOutage
        };
    if (!m_selector.mayReadStore())
        co_return relayed.error();
    const auto sentAt = m_clock.bootNow();
    auto out = co_await m_store.snapshot(std::move(table), timeouts);
    recordStoreRead(out.has_value(), sentAt);
    co_return out;
}

asio::awaitable<Result<TableChanges>> RelayedTableFeed::changes(
    std::string table, RowVersion after, milliseconds wait, TableReadTimeouts timeouts)
{
    const RelayRequest request { .table = table, .after = after, .wait = std::min(wait, maxRelayWait) };
    auto relayed = co_await readFromReaders(request);
    if (relayed)
        co_return TableChanges { .rows = std::move(relayed->rows),
            .version = std::max(after, relayed->version),
            .isAfterOutage = relayed->isAfterOutage };
    if (relayed.error().code == Errc::NotFound || !m_selector.mayReadStore())
        co_return relayed.error();
    const bool hasReaders = !m_selector.readers().empty() && !m_selector.isReader();
    const auto storeWait = hasReaders ? std::min(wait, maxStoreWaitWithReaders) : wait;
    const auto sentAt = m_clock.bootNow();
    auto out = co_await m_store.changes(std::move(table), after, storeWait, timeouts);
    const bool hasAnswered = out || out.error().code == Errc::NotFound;
    // An answer without rows says that nothing had changed when the wait was over.
    const bool hasWaited = out && out->rows.empty() && m_clock.bootNow() - sentAt >= storeWait;
    recordStoreRead(hasAnswered, hasWaited ? timeAfter(sentAt, storeWait) : sentAt);
    co_return out;
}

asio::awaitable<Result<RelayReply>> RelayedTableFeed::readFromReaders(RelayRequest request)
{
    while (auto reader = m_selector.choose()) {
        auto reply = co_await ask(*reader, request);
        if (reply) {
            m_selector.recordSuccess(reader->instance);
            logSource(reader->instance, "answered, age_ms=" + std::to_string(reply->age.count()));
            m_isRelayed = true;
            co_return reply;
        }
        if (reply.error().code == Errc::NotFound)
            co_return reply.error();
        m_selector.recordFailure(reader->instance);
        LOG(INFO) << "event=reader-failed reader=" << reader->instance << " table=" << request.table
                  << " version=" << request.after << " error=\"" << reply.error().code.message() << ": "
                  << reply.error().detail << "\"";
    }
    co_return noReader();
}

asio::awaitable<Result<RelayReply>> RelayedTableFeed::ask(const StoreReader& reader, const RelayRequest& request)
{
    const auto sentAt = m_clock.bootNow();
    HttpRequest httpRequest { .method = "POST", .target = std::string(relayPath), .body = encode(request) };
    HttpCallOptions options;
    options.headerDeadline = m_clock.now() + request.wait + relayTimeout;
    options.deadline = *options.headerDeadline + relayBodyTimeout;
    options.progressTimeout = relayProgressTimeout;
    options.connectTimeout = relayConnectTimeout;
    options.bodyLimit = maxReplySize;
    auto response = co_await m_client.call(reader.address, std::move(httpRequest), options);
    if (!response) {
        m_client.closeIdleConnections(reader.address);
        co_return response.error();
    }
    if (response->status != 200)
        co_return Failure { .code = response->status == 410 ? Errc::NotFound : Errc::Unavailable,
            .verdict = Verdict::NotRun,
            .detail = "status " + std::to_string(response->status) + " " + response->body };
    auto reply = decodeRelayReply(response->body, request.table);
    // The wait is subtracted, since the reader determines the age at the end of it.
    const auto travelTime = std::max<std::chrono::nanoseconds>(m_clock.bootNow() - sentAt - request.wait, {});
    if (reply && reply->age + travelTime > maxRelayAge)
        co_return Failure { .code = Errc::Unavailable,
            .verdict = Verdict::NotRun,
            .detail = "outdated, age " + std::to_string(millisecondsOf(reply->age + travelTime).count()) + " ms" };
    co_return reply;
}

void RelayedTableFeed::recordStoreRead(bool isSuccess, SteadyTime upToDateAt)
{
    m_selector.recordStoreRead(isSuccess);
    m_isRelayed = false;
    if (!isSuccess)
        return;
    m_storeUpToDateAt = std::max(upToDateAt, m_storeUpToDateAt.value_or(upToDateAt));
    logSource("store", m_selector.isReader() ? "this instance is a reader" : "no reader is usable");
}

std::chrono::nanoseconds RelayedTableFeed::storeReadAge() const
{
    return m_storeUpToDateAt ? m_clock.bootNow() - *m_storeUpToDateAt : std::chrono::nanoseconds::max();
}

void RelayedTableFeed::logSource(const std::string& source, const std::string& reason)
{
    if (source == m_source)
        return;
    LOG(INFO) << "event=table-source source=" << source << " previous=" << (m_source.empty() ? "none" : m_source)
              << " readers=" << m_selector.readers().size() << " reason=\"" << reason << "\"";
    m_source = source;
}

} // namespace bulrushstack
