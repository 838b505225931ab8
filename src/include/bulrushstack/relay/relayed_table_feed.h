#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/platform/table_feed.h"
#include "bulrushstack/relay/reader_selector.h"
#include "bulrushstack/relay/relay_messages.h"

namespace bulrushstack {

/// Age up to which the answer of a reader is used. A reader that is cut off from the store is replaced soon enough for
/// a change of the configuration to be in force in time.
constexpr std::chrono::milliseconds maxRelayAge { 1800 };

/// Reads tables from a reader of the availability zone, or from the store itself when no reader is usable.
///
/// A reader's answer is used only if its table was up to date at most maxRelayAge ago, counted on this instance from
/// before the request was sent and with the time that a suspended machine misses. An answer that waited in a socket
/// while this instance or the reader was suspended is therefore not mistaken for a new one.
class RelayedTableFeed final : public TableFeed {
public:
    RelayedTableFeed(HttpClient& client, const Clock& clock, ReaderSelector& selector, TableFeed& store);

    boost::asio::awaitable<Result<TableSnapshot>> snapshot(std::string table, TableReadTimeouts timeouts) override;
    boost::asio::awaitable<Result<TableChanges>> changes(
        std::string table, RowVersion after, std::chrono::milliseconds wait, TableReadTimeouts timeouts) override;

    /// Returns the time since what this instance read from the store itself was up to date for certain; max() if it has
    /// read nothing.
    std::chrono::nanoseconds storeReadAge() const;

    /// Returns whether the last answer came from a reader.
    bool isRelayed() const { return m_isRelayed; }

private:
    boost::asio::awaitable<Result<RelayReply>> readFromReaders(RelayRequest request);
    boost::asio::awaitable<Result<RelayReply>> ask(const StoreReader& reader, const RelayRequest& request);
    void logSource(const std::string& source, const std::string& reason);
    void recordStoreRead(bool isSuccess, SteadyTime upToDateAt);

    HttpClient& m_client;
    const Clock& m_clock;
    ReaderSelector& m_selector;
    TableFeed& m_store;
    std::optional<SteadyTime> m_storeUpToDateAt; ///< reading of Clock::bootNow()
    std::string m_source; ///< where the last answer came from, for the log
    bool m_isRelayed = false;
};

} // namespace bulrushstack
