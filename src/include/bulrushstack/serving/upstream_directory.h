#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// A model that is loaded on an upstream.
struct LoadedModel {
    std::string name;
    std::uint64_t version = 0;
    std::vector<std::string> adapters;

    friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// Directory row in which an upstream describes itself.
struct UpstreamEntry {
    std::string id;
    std::string service;
    Address address;
    std::string zone;
    /// Version of the upstream's software. The output of different versions does not fit together in one stream.
    std::string softwareVersion;
    unsigned slots = 1; ///< Number of requests that run concurrently.
    bool isDraining = false;
    /// Start time of the process in Unix milliseconds; distinguishes processes with the same id.
    std::uint64_t startedAt = 0;
    std::vector<LoadedModel> models; ///< Models that can serve requests.
    std::vector<std::string> modelsInHostMemory; ///< Models whose weights are in host memory; these load fastest.
    std::vector<std::string> modelsOnDisk; ///< Models whose weights are on disk and load without the weight store.

    const LoadedModel* findModel(std::string_view model) const;
    /// Returns whether the model and, unless it is empty, the adapter are loaded.
    bool hasLoaded(std::string_view model, std::string_view adapter) const;

    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// Software versions by service.
using SoftwareVersions = std::map<std::string, std::set<std::string>, std::less<>>;

struct DirectoryGracePeriods {
    /// How long an entry that expired during a store outage is still used after the store is back.
    std::chrono::nanoseconds storeOutageGrace = std::chrono::seconds(2);

    /// How long entries that disappear together are still used. It is more likely that their registrations expired than
    /// that all these upstreams shut down at the same moment. See simultaneousLossGrace().
    std::chrono::nanoseconds simultaneousLossGrace = std::chrono::milliseconds(1500);

    /// How long a removed entry that a restored copy contains is held back. It is longer than the registration of a
    /// process without heartbeats lasts.
    std::chrono::nanoseconds restoredEntryDelay = std::chrono::seconds(6);
};

/// Returns how long entries that disappear together may still be used, so that upstreams which did shut down get no
/// requests too late. `drainPeriod` is the time after the removal of an entry in which its upstream may get requests,
/// `changeDelay` the maximum time until this instance reads a removal.
std::chrono::nanoseconds simultaneousLossGrace(
    std::chrono::nanoseconds drainPeriod, std::chrono::nanoseconds changeDelay);

/// The upstreams known to this instance, from the rows that they publish about themselves and from announcements in
/// their responses. Performs no I/O.
class UpstreamDirectory {
public:
    explicit UpstreamDirectory(const Clock& clock, DirectoryGracePeriods gracePeriods = {});

    /// Sets the grace period of entries that will disappear together.
    void setSimultaneousLossGrace(std::chrono::nanoseconds grace) { m_gracePeriods.simultaneousLossGrace = grace; }

    /// Adds or replaces an entry. A process that is draining stays so. Returns whether anything changed.
    bool apply(UpstreamEntry entry);

    /// Removes the entries that disappeared in one read of the table. Draining entries are removed at once, others
    /// possibly after a grace period.
    void remove(const std::vector<std::string>& ids);

    /// Applies a read of the whole table: entries that are not in it are removed.
    void replaceAll(std::vector<UpstreamEntry> entries);

    /// Applies the first read of the whole table after the store was restored from a copy. Entries that are missing are
    /// kept for a grace period, since their upstreams write them again. Entries of processes that had been removed are
    /// held back: they get requests once they are written again, or once they are still there after a process that no
    /// longer lives would have lost them.
    void replaceAllFromCopy(std::vector<UpstreamEntry> entries);

    /// Records that the entries are those of a read of the table that began at the given time.
    void recordRead(SteadyTime startedAt);

    /// Returns the time up to which all changes of the table are known; empty before the first read.
    std::optional<SteadyTime> currentAsOf() const { return m_currentAsOf; }

    /// Records that the store does not respond.
    void recordStoreLost();
    /// Returns whether the store does not respond.
    bool isStoreLost() const { return m_isStoreLost; }
    /// Records that the store responds again. This starts the grace period for entries that expired during the outage.
    void recordStoreRegained();

    /// Records that an upstream announced in a response that it is shutting down. It gets no new requests until it
    /// restarts. Its row is ignored until then, since a row that says "ready" is older than the announcement.
    ///
    /// `startedAt` is the start time of the process that received the request; announcements of an earlier process are
    /// ignored. Returns whether the announcement is new.
    bool recordLeaving(const std::string& id, std::uint64_t startedAt);

    /// Records that an upstream asked this instance in a response to send no requests for the given time, capped to
    /// `maxPause`. Returns whether the upstream was not pausing before.
    bool recordPause(const std::string& id, std::uint64_t startedAt, std::chrono::nanoseconds duration);

    /// Records the rate limit of a response, in requests per second over all instances; empty if the response states
    /// none. A response without a limit ends an earlier limit only if its request was sent after the last response that
    /// stated one, since responses can overtake each other. Returns whether the limit changed.
    bool recordRateLimit(
        const std::string& id, std::uint64_t startedAt, std::optional<double> requestsPerSecond, SteadyTime sentAt);

    /// Records that this instance got no permit for a request to an upstream with a rate limit and may ask for one
    /// again after the given time. Until then the upstream gets no requests.
    void recordNoPermit(const std::string& id, std::uint64_t startedAt, std::chrono::nanoseconds retryAfter);

    /// A rate limit that an upstream stated in a response.
    struct RateLimit {
        double requestsPerSecond = 0; ///< Over all instances.
        SteadyTime statedAt {}; ///< Time of the last response that stated it.

        friend bool operator==(const RateLimit&, const RateLimit&) = default;
    };

    /// Returns the rate limit of an upstream; empty if it states none.
    std::optional<RateLimit> rateLimit(std::string_view id) const;

    /// Records how many requests a second an upstream can refuse for want of room without failing; empty if its
    /// response does not say that it is brittle. This counts for all upstreams of its service, until the one that
    /// stated it states none any more, or for `refusalLimitMemory`. Returns whether the limit changed.
    bool recordRefusalLimit(const std::string& id, std::optional<double> refusalsPerSecond, SteadyTime sentAt);

    /// Returns the refusals per second that each upstream of the service stands; empty if they are not brittle.
    std::optional<double> refusalLimit(std::string_view service) const;

    /// Longest pause that an upstream can ask for. The cap keeps a wrong value from excluding the upstream for good.
    static constexpr std::chrono::seconds maxPause { 60 };

    /// Removes the entries whose grace period has ended; returns their ids.
    std::vector<std::string> expire();

    /// Returns the upstreams whose pause has ended since the last call.
    std::vector<std::string> takeEndedPauses();

    const UpstreamEntry* find(std::string_view id) const;

    /// Returns whether the table listed this process of an upstream at the given time, as far as this instance knows.
    /// A process that is still listed counts as running after the last read.
    bool wasRunning(const std::string& id, std::uint64_t startedAt, SteadyTime time) const;

    /// Returns the entries of a service that can get new requests, sorted by id.
    std::vector<const UpstreamEntry*> usable(std::string_view service) const;

    /// Returns the entries of a service that could get new requests if they were not pausing or without a permit.
    std::vector<const UpstreamEntry*> suspended(std::string_view service) const;

    /// Returns when an upstream that is pausing or without a permit can get requests again; empty if it can now.
    std::optional<SteadyTime> suspendedUntil(std::string_view id) const;

    /// Returns whether the upstream is shutting down according to its row or an announcement.
    bool isLeaving(const UpstreamEntry& entry) const;

    /// Number of upstreams that announced a shutdown, of those that are pausing now, and of those with a rate limit.
    struct AnnouncementCounts {
        std::size_t leaving = 0;
        std::size_t pausing = 0;
        std::size_t limited = 0;

        friend bool operator==(const AnnouncementCounts&, const AnnouncementCounts&) = default;
    };
    AnnouncementCounts countAnnouncements() const;

    /// Returns the software versions of the upstreams, those of the last minute included, so that the version of a
    /// recent stream is among them.
    SoftwareVersions recentVersions() const;

    /// Records versions that the services had lately according to another source, as seen now.
    void recordVersions(const SoftwareVersions& versions);

    /// Returns the services that have several recent versions.
    std::set<std::string> servicesWithSeveralVersions() const;

    /// Returns the software version of all upstreams of a service; empty if there are several or none.
    std::optional<std::string> onlyVersion(std::string_view service) const;

    /// Returns whether an upstream of the service that is not shutting down has the software version.
    bool hasVersion(std::string_view service, std::string_view softwareVersion) const;

    /// Returns all entries, including draining ones.
    std::vector<const UpstreamEntry*> all() const;

    /// Returns a counter that increases with every change.
    std::uint64_t version() const { return m_version; }

private:
    struct Record {
        UpstreamEntry entry;
        std::optional<SteadyTime> graceEnd; ///< Set if the entry was removed and is still used until this time.
        std::optional<SteadyTime> heldBackUntil; ///< Set if the entry comes from a copy and may be outdated.
    };

    /// Announcements of an upstream in its responses. They are kept apart from the entries, since a row may disappear
    /// and come back.
    /// Refusals per second that the upstreams of a service stand.
    struct RefusalLimit {
        double refusalsPerSecond = 0;
        std::string statedBy; ///< Id of the upstream that last stated it.
        SteadyTime statedAt {};
    };

    struct Announcement {
        std::uint64_t startedAt = 0; ///< Start time of the process that made the announcement.
        bool isLeaving = false;
        std::optional<SteadyTime> pausedUntil;
        std::optional<RateLimit> rateLimit;
        std::optional<SteadyTime> noPermitUntil;
        SteadyTime recordedAt {};
    };

    /// Returns the announcement to update; null if the directory does not list this process of the upstream.
    Announcement* announcementOf(const std::string& id, std::uint64_t startedAt);
    /// Returns the entries of a service that are not shutting down and that are suspended or not, as requested.
    std::vector<const UpstreamEntry*> filterBySuspension(std::string_view service, bool isSuspended) const;
    bool isPausing(const Announcement& announcement) const;

    /// Returns the rest of the grace period after a store outage; zero or less if it has ended.
    std::chrono::nanoseconds remainingOutageGrace() const;
    bool isHeldBack(const Record& record) const;
    bool hasGraceEnded(const Record& record) const;
    void recordEnd(const UpstreamEntry& entry);
    void recordRemoval(const UpstreamEntry& entry);
    /// Removes an entry at the end of the grace period; at once if the period is empty or the upstream is draining.
    void removeWithGrace(const std::string& id, std::chrono::nanoseconds grace);

    const Clock& m_clock;
    DirectoryGracePeriods m_gracePeriods;
    std::map<std::string, Record, std::less<>> m_records;
    std::map<std::string, Announcement, std::less<>> m_announcements;
    std::map<std::string, RefusalLimit, std::less<>> m_refusalLimits; ///< By service.
    /// Removed processes by id and start time, with the time of the removal.
    std::map<std::pair<std::string, std::uint64_t>, SteadyTime> m_removed;
    /// Processes that are no longer listed, by id and start time, with the time until which they surely were.
    std::map<std::pair<std::string, std::uint64_t>, SteadyTime> m_ended;
    /// Time until which each software version of a service was last known to be there.
    std::map<std::pair<std::string, std::string>, SteadyTime> m_versionsSeen;
    std::optional<SteadyTime> m_currentAsOf;
    bool m_isStoreLost = false;
    std::optional<SteadyTime> m_storeRegained;
    std::uint64_t m_version = 0;
};

} // namespace bulrushstack
