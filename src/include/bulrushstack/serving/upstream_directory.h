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
struct LoadedModel {
    std::string name;
    std::uint64_t version = 0;
    std::vector<std::string> adapters;

    friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
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
    std::vector<LoadedModel> models;
    std::vector<std::string> modelsInHostMemory; ///< copies that load fastest
    std::vector<std::string> modelsOnDisk; ///< copies that load without the weight store

    const LoadedModel* findModel(std::string_view model) const;
    bool hasLoaded(std::string_view model, std::string_view adapter) const;

    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

struct DirectoryGracePeriods {
    /// How long an entry that lapsed while the store was away is still used after the store's return.
    std::chrono::nanoseconds storeOutageGrace = std::chrono::seconds(2);

    /// How long entries that vanish together are still used: their registration has lapsed, more likely than that all
    /// of them ended at the same moment.
    std::chrono::nanoseconds simultaneousLossGrace = std::chrono::milliseconds(1500);
};

/// The upstreams that this instance knows of, from the rows that they write about themselves. No I/O.
class UpstreamDirectory {
public:
    explicit UpstreamDirectory(const Clock& clock, DirectoryGracePeriods gracePeriods = {});

    /// Takes an entry. Returns whether anything changed.
    bool apply(UpstreamEntry entry);

    /// Takes the removal of entries that one reading showed. Entries that were draining go at once.
    void remove(const std::vector<std::string>& ids);

    /// Takes a whole reading: entries that are not in it count as removed.
    void replaceAll(std::vector<UpstreamEntry> entries);

    /// Notes that the store does not answer, or answers again.
    void recordStoreLost();
    void recordStoreRegained();

    /// Notes that an upstream said in an answer that it leaves. It gets nothing new until it starts anew, whatever its
    /// row says meanwhile: a row that still says ready is older. `startedAt` is the start of the process that was
    /// asked; what an earlier process said does not count. Returns whether this was not known yet.
    bool recordLeaving(const std::string& id, std::uint64_t startedAt);

    /// Notes that an upstream wants no requests from this instance for the given time, at most `longestPause`. Returns
    /// whether it was not pausing before.
    bool recordPause(const std::string& id, std::uint64_t startedAt, std::chrono::nanoseconds duration);

    /// Longest pause that an upstream may ask for; a longer one is cut, so that a wrong value does not lose it for
    /// good.
    static constexpr std::chrono::seconds maxPause { 60 };

    /// Drops the entries whose grace has ended; returns their ids.
    std::vector<std::string> expire();

    /// Returns the upstreams whose pause has ended since the last call.
    std::vector<std::string> takeEndedPauses();

    const UpstreamEntry* find(std::string_view id) const;

    /// Returns the entries of a service that may get new requests, in the order of their ids.
    std::vector<const UpstreamEntry*> usable(std::string_view service) const;

    /// Returns the entries of a service that would get new requests but for their pause.
    std::vector<const UpstreamEntry*> pausing(std::string_view service) const;

    /// Returns when the pause of an upstream ends; empty if it does not pause.
    std::optional<SteadyTime> pausedUntil(std::string_view id) const;

    /// Returns whether the row of the upstream or one of its answers says that it leaves.
    bool isLeaving(const UpstreamEntry& entry) const;

    /// How many upstreams have said in answers that they leave, and how many pause now.
    struct AnnouncementCounts {
        std::size_t leaving = 0;
        std::size_t pausing = 0;

        friend bool operator==(const AnnouncementCounts&, const AnnouncementCounts&) = default;
    };
    AnnouncementCounts countAnnouncements() const;

    /// Returns all entries, including those that are draining.
    std::vector<const UpstreamEntry*> all() const;

    /// Increases with every change.
    std::uint64_t version() const { return m_version; }

private:
    struct Record {
        UpstreamEntry entry;
        std::optional<SteadyTime> graceEnd; ///< removed, and dropped at this time
    };

    /// What an upstream said in its answers. Kept beside the entries, since a row may vanish and come back.
    struct Announcement {
        std::uint64_t startedAt = 0; ///< of the process that said it
        bool isLeaving = false;
        std::optional<SteadyTime> pausedUntil;
        SteadyTime recordedAt {};
    };

    Announcement* announcementOf(const std::string& id, std::uint64_t startedAt);
    std::vector<const UpstreamEntry*> filterByPause(std::string_view service, bool isPausing) const;

    std::chrono::nanoseconds remainingOutageGrace() const;
    void removeWithGrace(const std::string& id, std::chrono::nanoseconds grace);

    const Clock& m_clock;
    DirectoryGracePeriods m_gracePeriods;
    std::map<std::string, Record, std::less<>> m_records;
    std::map<std::string, Announcement, std::less<>> m_announcements;
    bool m_isStoreLost = false;
    std::optional<SteadyTime> m_storeRegained;
    std::uint64_t m_version = 0;
};

} // namespace bulrushstack
