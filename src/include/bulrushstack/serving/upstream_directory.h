#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// A model in the memory of an upstream.
struct HeldModel {
    std::string name;
    std::uint64_t version = 0;
    std::vector<std::string> adapters;

    friend bool operator==(const HeldModel&, const HeldModel&) = default;
};

/// What an upstream says of itself.
struct UpstreamEntry {
    std::string id;
    std::string service;
    Address address;
    std::string zone;
    unsigned slots = 1;
    bool isDraining = false;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; tells two processes under one id apart
    std::vector<HeldModel> models;
    std::vector<std::string> modelsInHostMemory; ///< copies that load fastest
    std::vector<std::string> modelsOnDisk; ///< copies that load without the weight store

    const HeldModel* findModel(std::string_view model) const;
    bool holds(std::string_view model, std::string_view adapter) const;

    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

struct DirectoryTimes {
    /// How long an entry that lapsed while the store was away is still used after the store's return.
    std::chrono::nanoseconds lapseGrace = std::chrono::seconds(2);

    /// How long entries that vanish together are still used: their registration has lapsed, more likely than that all
    /// of them ended at the same moment.
    std::chrono::nanoseconds joinedLossGrace = std::chrono::milliseconds(1500);
};

/// The upstreams that this instance knows of, from the rows that they write about themselves. No I/O.
class ServingDirectory {
public:
    explicit ServingDirectory(const Clock& clock, DirectoryTimes times = {});

    /// Takes an entry. Returns whether anything changed.
    bool apply(UpstreamEntry entry);

    /// Takes the removal of entries that one reading showed. Entries that were draining go at once.
    void remove(const std::vector<std::string>& ids);

    /// Takes a whole reading: entries that are not in it count as removed.
    void replaceAll(std::vector<UpstreamEntry> entries);

    /// Notes that the store does not answer, or answers again.
    void noteStoreLost();
    void noteStoreRegained();

    /// Drops the entries whose grace has ended; returns their ids.
    std::vector<std::string> expire();

    const UpstreamEntry* find(std::string_view id) const;

    /// Returns the entries of a service that may get new requests, in the order of their ids.
    std::vector<const UpstreamEntry*> usable(std::string_view service) const;

    /// Returns all entries, including those that are draining.
    std::vector<const UpstreamEntry*> all() const;

    /// Increases with every change.
    std::uint64_t version() const { return m_version; }

private:
    struct Member {
        UpstreamEntry entry;
        std::optional<SteadyTime> lapsedUntil; ///< removed, and dropped at this time
    };

    std::chrono::nanoseconds lapseGraceLeft() const;
    void removeWithGrace(const std::string& id, std::chrono::nanoseconds grace);

    const Clock& m_clock;
    DirectoryTimes m_times;
    std::map<std::string, Member, std::less<>> m_members;
    bool m_isStoreLost = false;
    std::optional<SteadyTime> m_storeRegained;
    std::uint64_t m_version = 0;
};

} // namespace bulrushstack
