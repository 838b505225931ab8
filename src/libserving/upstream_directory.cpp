#include "bulrushstack/serving/upstream_directory.h"

#include <algorithm>
#include <set>

namespace bulrushstack {

namespace {

constexpr std::chrono::nanoseconds noGrace { 0 };

/// Longest use of entries that disappear together. By then, upstreams that are alive have registered again.
constexpr std::chrono::milliseconds maxSimultaneousLossGrace { 1500 };
/// Time for requests that were accepted at the end of a grace period to reach their upstream.
constexpr std::chrono::milliseconds requestTravelTime { 200 };

/// How long an announcement is kept after the entry of its upstream is gone. It is longer than a row stays missing in a
/// store outage.
constexpr std::chrono::minutes announcementLifetime { 5 };

/// How long the upstreams of a service count as brittle without another response that says so.
constexpr std::chrono::seconds refusalLimitMemory { 30 };

/// How long a software version without upstreams is remembered. It is longer than a stream lasts, retries included.
constexpr std::chrono::minutes versionMemory { 1 };

/// How long the end of a process is remembered. It is longer than a stream lasts, retries included.
constexpr std::chrono::minutes endMemory { 1 };

/// How long a removal is remembered. It is longer than the time by which a copy of the store is outdated.
constexpr std::chrono::minutes removalMemory { 2 };

} // namespace

std::chrono::nanoseconds simultaneousLossGrace(
    std::chrono::nanoseconds drainPeriod, std::chrono::nanoseconds changeDelay)
{
    const auto left = drainPeriod - changeDelay - requestTravelTime;
    return std::clamp<std::chrono::nanoseconds>(left, noGrace, maxSimultaneousLossGrace);
}

const LoadedModel* UpstreamEntry::findModel(std::string_view model) const
{
    auto it
        = std::find_if(models.begin(), models.end(), [&](const LoadedModel& loaded) { return loaded.name == model; });
    return it == models.end() ? nullptr : &*it;
}

bool UpstreamEntry::hasLoaded(std::string_view model, std::string_view adapter) const
{
    const auto* loaded = findModel(model);
    if (!loaded)
        return false;
    return adapter.empty()
        || std::find(loaded->adapters.begin(), loaded->adapters.end(), adapter) != loaded->adapters.end();
}

UpstreamDirectory::UpstreamDirectory(const Clock& clock, DirectoryGracePeriods gracePeriods)
    : m_clock(clock)
    , m_gracePeriods(gracePeriods)
{
}

bool UpstreamDirectory::apply(UpstreamEntry entry)
{
    auto& record = m_records[entry.id];
    if (auto it = m_announcements.find(entry.id);
        it != m_announcements.end() && it->second.startedAt != entry.startedAt)
        m_announcements.erase(it);
    const bool isSameProcess = entry.startedAt != 0 && entry.startedAt == record.entry.startedAt;
    if (!isSameProcess && !record.entry.id.empty())
        recordEnd(record.entry);
    if (isSameProcess && record.entry.isDraining)
        entry.isDraining = true;
    if (!record.entry.service.empty())
        m_versionsSeen[{ record.entry.service, record.entry.softwareVersion }] = m_clock.now();
    const bool isChanged = record.entry != entry || record.graceEnd || record.heldBackUntil;
    record.entry = std::move(entry);
    record.graceEnd.reset();
    record.heldBackUntil.reset();
    if (isChanged)
        ++m_version;
    return isChanged;
}

void UpstreamDirectory::remove(const std::vector<std::string>& ids)
{
    std::map<std::string, std::size_t> present;
    std::map<std::string, std::size_t> removed;
    for (const auto& [id, record] : m_records)
        ++present[record.entry.service];
    for (const auto& id : ids) {
        if (auto it = m_records.find(id); it != m_records.end() && !it->second.graceEnd)
            ++removed[it->second.entry.service];
    }
    for (const auto& id : ids) {
        auto it = m_records.find(id);
        if (it == m_records.end() || it->second.graceEnd)
            continue;
        const auto& service = it->second.entry.service;
        const bool isSimultaneousLoss = removed[service] > 1 && removed[service] * 2 >= present[service];
        removeWithGrace(
            id, std::max(remainingOutageGrace(), isSimultaneousLoss ? m_gracePeriods.simultaneousLossGrace : noGrace));
    }
}

void UpstreamDirectory::removeWithGrace(const std::string& id, std::chrono::nanoseconds grace)
{
    auto it = m_records.find(id);
    ++m_version;
    recordRemoval(it->second.entry);
    if (it->second.entry.isDraining || grace <= noGrace)
        m_records.erase(it);
    else
        it->second.graceEnd = m_clock.now() + std::chrono::duration_cast<SteadyTime::duration>(grace);
}

void UpstreamDirectory::replaceAll(std::vector<UpstreamEntry> entries)
{
    std::set<std::string> present;
    for (auto& it : entries) {
        present.insert(it.id);
        apply(std::move(it));
    }
    std::vector<std::string> gone;
    for (const auto& [id, record] : m_records) {
        if (!present.count(id))
            gone.push_back(id);
    }
    remove(gone);
}

void UpstreamDirectory::replaceAllFromCopy(std::vector<UpstreamEntry> entries)
{
    recordStoreLost();
    recordStoreRegained();
    std::vector<std::string> heldBack;
    for (const auto& it : entries) {
        const auto* known = find(it.id);
        const bool isKnown = known && known->startedAt == it.startedAt;
        if (!isKnown && m_removed.count({ it.id, it.startedAt }))
            heldBack.push_back(it.id);
    }
    replaceAll(std::move(entries));
    const auto until
        = m_clock.now() + std::chrono::duration_cast<SteadyTime::duration>(m_gracePeriods.restoredEntryDelay);
    for (const auto& id : heldBack)
        m_records.find(id)->second.heldBackUntil = until;
}

bool UpstreamDirectory::isHeldBack(const Record& record) const
{
    return record.heldBackUntil && *record.heldBackUntil > m_clock.now();
}

bool UpstreamDirectory::hasGraceEnded(const Record& record) const
{
    return record.graceEnd && *record.graceEnd <= m_clock.now();
}

void UpstreamDirectory::recordRemoval(const UpstreamEntry& entry)
{
    const auto now = m_clock.now();
    std::erase_if(m_removed, [now](const auto& it) { return now - it.second > removalMemory; });
    m_removed[{ entry.id, entry.startedAt }] = now;
    recordEnd(entry);
    m_versionsSeen[{ entry.service, entry.softwareVersion }] = now;
}

void UpstreamDirectory::recordEnd(const UpstreamEntry& entry)
{
    const auto now = m_clock.now();
    std::erase_if(m_ended, [now](const auto& it) { return now - it.second > endMemory; });
    m_ended[{ entry.id, entry.startedAt }] = m_currentAsOf.value_or(now);
}

void UpstreamDirectory::recordRead(SteadyTime startedAt)
{
    m_currentAsOf = std::max(m_currentAsOf.value_or(startedAt), startedAt);
}

bool UpstreamDirectory::wasRunning(const std::string& id, std::uint64_t startedAt, SteadyTime time) const
{
    const auto* entry = find(id);
    if (entry && entry->startedAt == startedAt)
        return true;
    const auto it = m_ended.find({ id, startedAt });
    return it != m_ended.end() && time <= it->second;
}

void UpstreamDirectory::recordStoreLost() { m_isStoreLost = true; }

void UpstreamDirectory::recordStoreRegained()
{
    if (m_isStoreLost)
        m_storeRegained = m_clock.now();
    m_isStoreLost = false;
}

std::chrono::nanoseconds UpstreamDirectory::remainingOutageGrace() const
{
    if (m_isStoreLost)
        return m_gracePeriods.storeOutageGrace;
    return m_storeRegained ? *m_storeRegained + m_gracePeriods.storeOutageGrace - m_clock.now() : noGrace;
}

UpstreamDirectory::Announcement* UpstreamDirectory::announcementOf(const std::string& id, std::uint64_t startedAt)
{
    auto it = m_records.find(id);
    if (it == m_records.end() || it->second.entry.startedAt != startedAt)
        return nullptr;
    auto& out = m_announcements[id];
    out.startedAt = startedAt;
    out.recordedAt = m_clock.now();
    return &out;
}

bool UpstreamDirectory::recordLeaving(const std::string& id, std::uint64_t startedAt)
{
    auto* announcement = announcementOf(id, startedAt);
    if (!announcement || announcement->isLeaving)
        return false;
    announcement->isLeaving = true;
    ++m_version;
    return true;
}

bool UpstreamDirectory::recordPause(const std::string& id, std::uint64_t startedAt, std::chrono::nanoseconds duration)
{
    auto* announcement = announcementOf(id, startedAt);
    if (!announcement || duration <= noGrace)
        return false;
    const bool isNew = !announcement->pausedUntil;
    const auto pause = std::min<std::chrono::nanoseconds>(duration, maxPause);
    const auto until = m_clock.now() + std::chrono::duration_cast<SteadyTime::duration>(pause);
    announcement->pausedUntil = std::max(announcement->pausedUntil.value_or(until), until);
    ++m_version;
    return isNew;
}

bool UpstreamDirectory::recordRateLimit(
    const std::string& id, std::uint64_t startedAt, std::optional<double> requestsPerSecond, SteadyTime sentAt)
{
    if (!requestsPerSecond && !rateLimit(id))
        return false;
    auto* announcement = announcementOf(id, startedAt);
    if (!announcement)
        return false;
    auto& limit = announcement->rateLimit;
    if (!requestsPerSecond) {
        const bool isEnded = limit && sentAt > limit->statedAt;
        if (isEnded) {
            limit.reset();
            announcement->noPermitUntil.reset();
        }
        return isEnded;
    }
    const bool isChanged = !limit || limit->requestsPerSecond != *requestsPerSecond;
    limit = RateLimit { .requestsPerSecond = *requestsPerSecond, .statedAt = m_clock.now() };
    return isChanged;
}

bool UpstreamDirectory::recordRefusalLimit(
    const std::string& id, std::optional<double> refusalsPerSecond, SteadyTime sentAt)
{
    const auto* entry = find(id);
    if (!entry)
        return false;
    const auto known = refusalLimit(entry->service);
    if (refusalsPerSecond) {
        m_refusalLimits[entry->service]
            = { .refusalsPerSecond = *refusalsPerSecond, .statedBy = id, .statedAt = m_clock.now() };
        return known != refusalsPerSecond;
    }
    const auto it = m_refusalLimits.find(entry->service);
    const bool isEnded = it != m_refusalLimits.end() && it->second.statedBy == id && sentAt > it->second.statedAt;
    if (isEnded)
        m_refusalLimits.erase(it);
    return isEnded;
}

std::optional<double> UpstreamDirectory::refusalLimit(std::string_view service) const
{
    const auto it = m_refusalLimits.find(service);
    if (it == m_refusalLimits.end() || m_clock.now() - it->second.statedAt > refusalLimitMemory)
        return std::nullopt;
    return it->second.refusalsPerSecond;
}

void UpstreamDirectory::recordNoPermit(
    const std::string& id, std::uint64_t startedAt, std::chrono::nanoseconds retryAfter)
{
    auto* announcement = rateLimit(id) ? announcementOf(id, startedAt) : nullptr;
    if (announcement)
        announcement->noPermitUntil = m_clock.now() + std::chrono::duration_cast<SteadyTime::duration>(retryAfter);
}

std::optional<UpstreamDirectory::RateLimit> UpstreamDirectory::rateLimit(std::string_view id) const
{
    auto it = m_announcements.find(id);
    return it == m_announcements.end() ? std::nullopt : it->second.rateLimit;
}

std::vector<std::string> UpstreamDirectory::takeEndedPauses()
{
    std::vector<std::string> out;
    for (auto& [id, announcement] : m_announcements) {
        if (!announcement.pausedUntil || *announcement.pausedUntil > m_clock.now())
            continue;
        announcement.pausedUntil.reset();
        out.push_back(id);
    }
    std::erase_if(m_announcements, [this](const auto& it) {
        const auto& [id, announcement] = it;
        const bool isEmpty = !announcement.isLeaving && !announcement.pausedUntil && !announcement.rateLimit;
        return isEmpty || (!m_records.count(id) && m_clock.now() - announcement.recordedAt > announcementLifetime);
    });
    return out;
}

std::vector<std::string> UpstreamDirectory::expire()
{
    std::vector<std::string> out;
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (hasGraceEnded(it->second)) {
            out.push_back(it->first);
            it = m_records.erase(it);
            ++m_version;
        } else {
            ++it;
        }
    }
    return out;
}

const UpstreamEntry* UpstreamDirectory::find(std::string_view id) const
{
    auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second.entry;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::usable(std::string_view service) const
{
    return filterBySuspension(service, false);
}

std::vector<const UpstreamEntry*> UpstreamDirectory::suspended(std::string_view service) const
{
    return filterBySuspension(service, true);
}

std::vector<const UpstreamEntry*> UpstreamDirectory::filterBySuspension(
    std::string_view service, bool isSuspended) const
{
    std::vector<const UpstreamEntry*> out;
    for (const auto& [id, record] : m_records) {
        if (record.entry.service == service && !isHeldBack(record) && !hasGraceEnded(record) && !isLeaving(record.entry)
            && suspendedUntil(id).has_value() == isSuspended)
            out.push_back(&record.entry);
    }
    return out;
}

std::optional<SteadyTime> UpstreamDirectory::suspendedUntil(std::string_view id) const
{
    auto it = m_announcements.find(id);
    if (it == m_announcements.end())
        return std::nullopt;
    const auto until = std::max(it->second.pausedUntil, it->second.noPermitUntil); // An empty optional is the smaller.
    return until && *until > m_clock.now() ? until : std::nullopt;
}

bool UpstreamDirectory::isPausing(const Announcement& announcement) const
{
    return announcement.pausedUntil && *announcement.pausedUntil > m_clock.now();
}

UpstreamDirectory::AnnouncementCounts UpstreamDirectory::countAnnouncements() const
{
    AnnouncementCounts out;
    for (const auto& [id, announcement] : m_announcements) {
        out.leaving += announcement.isLeaving ? 1 : 0;
        out.pausing += isPausing(announcement) ? 1 : 0;
        out.limited += announcement.rateLimit ? 1 : 0;
    }
    return out;
}

bool UpstreamDirectory::isLeaving(const UpstreamEntry& entry) const
{
    auto it = m_announcements.find(entry.id);
    return entry.isDraining || (it != m_announcements.end() && it->second.isLeaving);
}

SoftwareVersions UpstreamDirectory::recentVersions() const
{
    SoftwareVersions out;
    for (const auto& [key, seenAt] : m_versionsSeen) {
        if (m_clock.now() - seenAt <= versionMemory)
            out[key.first].insert(key.second);
    }
    for (const auto& [id, record] : m_records)
        out[record.entry.service].insert(record.entry.softwareVersion);
    return out;
}

void UpstreamDirectory::recordVersions(const SoftwareVersions& versions)
{
    for (const auto& [service, names] : versions) {
        for (const auto& it : names)
            m_versionsSeen[{ service, it }] = m_clock.now();
    }
}

std::set<std::string> UpstreamDirectory::servicesWithSeveralVersions() const
{
    std::set<std::string> out;
    for (const auto& [service, versions] : recentVersions()) {
        if (versions.size() > 1)
            out.insert(service);
    }
    return out;
}

std::optional<std::string> UpstreamDirectory::onlyVersion(std::string_view service) const
{
    std::optional<std::string> out;
    for (const auto& [id, record] : m_records) {
        if (record.entry.service != service)
            continue;
        if (out && *out != record.entry.softwareVersion)
            return std::nullopt;
        out = record.entry.softwareVersion;
    }
    return out;
}

bool UpstreamDirectory::hasVersion(std::string_view service, std::string_view softwareVersion) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto& it) {
        const auto& entry = it.second.entry;
        return entry.service == service && entry.softwareVersion == softwareVersion && !isLeaving(entry);
    });
}

std::vector<const UpstreamEntry*> UpstreamDirectory::all() const
{
    std::vector<const UpstreamEntry*> out;
    for (const auto& [id, record] : m_records)
        out.push_back(&record.entry);
    return out;
}

} // namespace bulrushstack
