#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/platform/table_feed.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <string>

namespace bulrushstack {

/// Takes what a TableFollower reads.
class TableObserver {
public:
    virtual ~TableObserver() = default;

    /// Takes the whole table; rows that are not in it do not exist.
    virtual void onSnapshot(const TableSnapshot& snapshot) = 0;

    /// Takes changes in their order.
    virtual void onChanges(const TableChanges& changes) = 0;

    virtual void onStoreLost(const Failure& failure) = 0;
    virtual void onStoreRegained() = 0;
};

struct TableFollowerOptions {
    std::string table;
    std::chrono::milliseconds longPollTime { 4000 }; ///< longest time of one call for changes
    std::chrono::milliseconds changeBatchDelay { 400 }; ///< until setChangePause() is called
    std::uint64_t randomSeed = 0; ///< of the pauses between failed calls
};

/// Follows one table: reads it as a whole, then takes its changes, and reads it again when the store no longer has the
/// history. Failed calls are repeated after a growing pause.
class TableFollower {
public:
    TableFollower(boost::asio::io_context& context, const Clock& clock, TableFeed& feed, TableFollowerOptions options,
        TableObserver& observer);

    /// Runs until stop().
    boost::asio::awaitable<void> run();

    void stop();

    /// Sets the time in which further changes are collected before the next call.
    void setChangeBatchDelay(std::chrono::milliseconds pause) { m_changeBatchDelay = pause; }

private:
    boost::asio::awaitable<Result<void>> poll();
    boost::asio::awaitable<void> backOffAfterFailure();

    const Clock& m_clock;
    TableFeed& m_feed;
    TableFollowerOptions m_options;
    TableObserver& m_observer;
    boost::asio::steady_timer m_timer;
    std::chrono::milliseconds m_changeBatchDelay;
    std::mt19937_64 m_random;
    bool m_isSynchronized = false;
    bool m_isStopped = false;
    RowVersion m_version = 0;
    unsigned m_failures = 0;
};

} // namespace bulrushstack
