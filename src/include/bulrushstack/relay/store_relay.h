#pragma once

#include "bulrushstack/relay/table_relay.h"

namespace bulrushstack {

struct StoreRelayOptions {
    RelayMember self;
    ReaderChoiceOptions readerChoice;
    std::uint64_t randomSeed = 0;
};

/// Where an instance reads the tables from, for metrics.
struct StoreRelayStatus {
    std::size_t readers = 0; ///< Known readers of its availability zone.
    bool isReader = false;
    bool isRelayed = false; ///< Whether the last answer came from a reader.
    std::chrono::nanoseconds storeReadAge {}; ///< See RelayedTableFeed::storeReadAge().
    std::uint64_t answers = 0; ///< Requests of other instances that were answered since the start.

    friend bool operator==(const StoreRelayStatus&, const StoreRelayStatus&) = default;
};

/// What an instance needs to read the tables of the store through the readers of its availability zone, and to be such
/// a reader itself. The readers are assigned from outside; without any, the instance reads the store itself.
class StoreRelay {
public:
    StoreRelay(boost::asio::io_context& context, HttpClient& client, const Clock& clock, StoreRelayOptions options,
        TableFeed& store);

    /// Replaces the readers of this instance's availability zone.
    void setReaders(std::vector<StoreReader> readers);

    const RelayMember& self() const { return m_options.self; }
    const ReaderChoiceOptions& readerChoice() const { return m_options.readerChoice; }
    ReaderSelector& selector() { return m_selector; }
    RelayedTableFeed& feed() { return m_feed; }
    TableRelay& tables() { return m_tables; }

    /// Returns whether this instance is a reader that is in contact with the store.
    bool isUsableReader() const;

    StoreRelayStatus status() const;

private:
    StoreRelayOptions m_options;
    ReaderSelector m_selector;
    RelayedTableFeed m_feed;
    TableRelay m_tables;
};

} // namespace bulrushstack
