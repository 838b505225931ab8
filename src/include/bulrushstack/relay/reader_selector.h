#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/relay/store_reader.h"

#include <map>
#include <optional>
#include <random>

namespace bulrushstack {

/// Decides from where an instance reads the tables: from a reader of its availability zone, or from the store itself.
/// Performs no I/O.
///
/// Each instance prefers one reader by rendezvous hashing and takes another one after a failure. It reads the store
/// itself while it is a reader, while none is known, and while all of them fail. During an outage of the store that it
/// has seen itself it asks the store only now and then, because the readers notice the end of the outage.
class ReaderSelector {
public:
    ReaderSelector(const Clock& clock, std::string ownInstance, std::uint64_t randomSeed);

    /// Replaces the readers. What is known about readers that remain is kept.
    void setReaders(std::vector<StoreReader> readers);

    const std::vector<StoreReader>& readers() const { return m_readers; }

    /// Returns whether this instance is one of the readers.
    bool isReader() const;

    /// Returns the reader to ask next; empty if the store is to be asked.
    std::optional<StoreReader> choose() const;

    /// Records that a reader gave no answer, or an outdated one. It is avoided for a time that grows with each failure
    /// in a row.
    void recordFailure(const std::string& instance);
    void recordSuccess(const std::string& instance);

    /// Returns whether the store may be asked now if choose() returns no reader.
    bool mayReadStore() const;
    void recordStoreRead(bool isSuccess);

private:
    struct Failures {
        unsigned inARow = 0;
        SteadyTime avoidedUntil {};
    };

    const Clock& m_clock;
    std::string m_ownInstance;
    std::vector<StoreReader> m_readers;
    std::map<std::string, Failures> m_failures;
    std::optional<SteadyTime> m_nextStoreRead;
    std::mt19937_64 m_random;
};

} // namespace bulrushstack
