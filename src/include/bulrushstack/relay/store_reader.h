#pragma once

#include "bulrushstack/kernel/settings.h"

#include <chrono>
#include <string>
#include <vector>

namespace bulrushstack {

/// An instance that reads the platform's store and passes the tables on to other instances of its availability zone.
struct StoreReader {
    std::string instance;
    Address address; ///< Address at which other instances reach it.

    friend bool operator==(const StoreReader&, const StoreReader&) = default;
};

/// An instance among which the readers of an availability zone are chosen.
struct RelayMember {
    std::string instance;
    std::string zone;
    Address address;
    double processorShare = 1; ///< Share of a processor core that the instance may use.

    friend bool operator==(const RelayMember&, const RelayMember&) = default;
};

/// Longest time until an instance that reads from a reader applies a change: the age up to which it uses the reader's
/// answers, its wait for the next answer, and the request to another reader.
constexpr std::chrono::milliseconds relayedChangeDelay { 2400 };

struct ReaderChoiceOptions {
    /// With fewer instances, each reads the store itself.
    unsigned minInstances = 24;
    /// Instances that share one reader, on average.
    unsigned instancesPerReader = 24;
    /// Readers of an availability zone, so that the loss of one leaves another.
    unsigned minReadersPerZone = 2;
    /// Time within which each instance must apply a change of a table.
    std::chrono::nanoseconds changePeriod = std::chrono::seconds(4);

    friend bool operator==(const ReaderChoiceOptions&, const ReaderChoiceOptions&) = default;
};

/// Chooses the readers of an availability zone among all members, those with the largest share of a processor first.
/// The choice changes as little as possible when members come and go. Returns an empty list if each instance should
/// read the store itself, because there are few or because readers would be too slow.
std::vector<StoreReader> chooseStoreReaders(
    const std::vector<RelayMember>& members, const std::string& zone, const ReaderChoiceOptions& options);

} // namespace bulrushstack
