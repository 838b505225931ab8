#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/platform/table_feed.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <string>

namespace bulrushstack {

/// Receives what a TableFollower reads.
class TableObserver {
public:
    virtual ~TableObserver() = default;

    /// Receives the whole table; rows that are not in the snapshot do not exist.
    virtual void onSnapshot(const TableSnapshot& snapshot) = 0;

    /// Receives changes in their order.
    virtual void onChanges(const TableChanges& changes) = 0;

    /// Called at the first failed call of an outage.
    virtual void onStoreLost(const Failure& failure) = 0;
    /// Called twice when the store responds again: before and after the data of the response is delivered.
    virtual void onStoreRegained() = 0;

    /// Called after each successful read of the table or of its changes, with the time at which the read began. The
    /// data that were delivered contain all changes up to that time, unless their source is another instance.
    virtual void onRead(SteadyTime startedAt) = 0;

    /// Called before rows are delivered whose source, another instance, lost the store shortly before.
    virtual void onOutageReported() = 0;
};

struct TableFollowerOptions {
    std::string table;
    /// Maximum time that the store may wait for changes before it responds to a call.
    std::chrono::milliseconds longPollTime { 4000 };
    /// Time in which further changes are collected, until setChangeBatchDelay() is called.
    std::chrono::milliseconds changeBatchDelay { 400 };
    /// Seed of the random backoff between failed calls.
    std::uint64_t randomSeed = 0;
};

/// Follows one table of the store: reads a snapshot, then the changes after it, and reads a new snapshot when the store
/// no longer has the history. Failed calls are retried with an exponential backoff.
class TableFollower {
public:
    TableFollower(boost::asio::io_context& context, const Clock& clock, TableFeed& feed, TableFollowerOptions options,
        TableObserver& observer);

    /// Runs until stop() is called.
    boost::asio::awaitable<void> run();

    void stop();

    /// Sets the time in which further changes are collected before the next call.
    void setChangeBatchDelay(std::chrono::milliseconds delay) { m_changeBatchDelay = delay; }

    /// Sets the maximum time that the store may wait for changes, from the next call on.
    void setLongPollTime(std::chrono::milliseconds time) { m_options.longPollTime = time; }

    /// Returns the version of the table up to which its changes were delivered.
    RowVersion version() const { return m_version; }

    /// Makes the next call read the whole table.
    void resynchronize() { m_isSynchronized = false; }

private:
    boost::asio::awaitable<Result<void>> poll(SteadyTime startedAt);
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
