#include "bulrushstack/serving/upstream_directory.h"

#include <algorithm>
#include <set>

namespace bulrushstack {

namespace {

constexpr std::chrono::nanoseconds noGrace { 0 };

/// How long a statement of an upstream is kept after its entry is gone: longer than a row stays away in an outage.
constexpr std::chrono::minutes statementLifetime { 5 };

} // namespace

const HeldModel* UpstreamEntry::findModel(std::string_view model) const
{
    auto it = std::find_if(models.begin(), models.end(), [&](const HeldModel& held) { return held.name == model; });
    return it == models.end() ? nullptr : &*it;
}

bool UpstreamEntry::holds(std::string_view model, std::string_view adapter) const
{
    const auto* held = findModel(model);
    if (!held)
        return false;
    return adapter.empty() || std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end();
}

ServingDirectory::ServingDirectory(const Clock& clock, DirectoryTimes times)
    : m_clock(clock)
    , m_times(times)
{
}

bool ServingDirectory::apply(UpstreamEntry entry)
{
    auto& member = m_members[entry.id];
    if (auto it = m_statements.find(entry.id); it != m_statements.end() && it->second.startedAt != entry.startedAt)
        m_statements.erase(it);
    const bool isChanged = member.entry != entry || member.lapsedUntil;
    member.entry = std::move(entry);
    member.lapsedUntil.reset();
    if (isChanged)
        ++m_version;
    return isChanged;
}

void ServingDirectory::remove(const std::vector<std::string>& ids)
{
    std::map<std::string, std::size_t> present;
    std::map<std::string, std::size_t> removed;
    for (const auto& [id, member] : m_members)
        ++present[member.entry.service];
    for (const auto& id : ids) {
        if (auto it = m_members.find(id); it != m_members.end() && !it->second.lapsedUntil)
            ++removed[it->second.entry.service];
    }
    for (const auto& id : ids) {
        auto it = m_members.find(id);
        if (it == m_members.end() || it->second.lapsedUntil)
            continue;
        const auto& service = it->second.entry.service;
        const bool isJoinedLoss = removed[service] > 1 && removed[service] * 2 >= present[service];
        removeWithGrace(id, std::max(lapseGraceLeft(), isJoinedLoss ? m_times.joinedLossGrace : noGrace));
    }
}

void ServingDirectory::removeWithGrace(const std::string& id, std::chrono::nanoseconds grace)
{
    auto it = m_members.find(id);
    ++m_version;
    if (it->second.entry.isDraining || grace <= noGrace)
        m_members.erase(it);
    else
        it->second.lapsedUntil = m_clock.now() + std::chrono::duration_cast<SteadyTime::duration>(grace);
}

void ServingDirectory::replaceAll(std::vector<UpstreamEntry> entries)
{
    std::set<std::string> present;
    for (auto& it : entries) {
        present.insert(it.id);
        apply(std::move(it));
    }
    std::vector<std::string> gone;
    for (const auto& [id, member] : m_members) {
        if (!present.count(id))
            gone.push_back(id);
    }
    remove(gone);
}

void ServingDirectory::noteStoreLost() { m_isStoreLost = true; }

void ServingDirectory::noteStoreRegained()
{
    if (m_isStoreLost)
        m_storeRegained = m_clock.now();
    m_isStoreLost = false;
}

std::chrono::nanoseconds ServingDirectory::lapseGraceLeft() const
{
    if (m_isStoreLost)
        return m_times.lapseGrace;
    return m_storeRegained ? *m_storeRegained + m_times.lapseGrace - m_clock.now() : noGrace;
}

ServingDirectory::Statement* ServingDirectory::statementOf(const std::string& id, std::uint64_t startedAt)
{
    auto it = m_members.find(id);
    if (it == m_members.end() || it->second.entry.startedAt != startedAt)
        return nullptr;
    auto& out = m_statements[id];
    out.startedAt = startedAt;
    out.noted = m_clock.now();
    return &out;
}

bool ServingDirectory::noteLeaving(const std::string& id, std::uint64_t startedAt)
{
    auto* statement = statementOf(id, startedAt);
    if (!statement || statement->isLeaving)
        return false;
    statement->isLeaving = true;
    ++m_version;
    return true;
}

bool ServingDirectory::notePause(const std::string& id, std::uint64_t startedAt, std::chrono::nanoseconds duration)
{
    auto* statement = statementOf(id, startedAt);
    if (!statement || duration <= noGrace)
        return false;
    const bool isNew = !statement->pausedUntil;
    const auto pause = std::min<std::chrono::nanoseconds>(duration, longestPause);
    const auto until = m_clock.now() + std::chrono::duration_cast<SteadyTime::duration>(pause);
    statement->pausedUntil = std::max(statement->pausedUntil.value_or(until), until);
    ++m_version;
    return isNew;
}

std::vector<std::string> ServingDirectory::takeEndedPauses()
{
    std::vector<std::string> out;
    for (auto& [id, statement] : m_statements) {
        if (!statement.pausedUntil || *statement.pausedUntil > m_clock.now())
            continue;
        statement.pausedUntil.reset();
        out.push_back(id);
    }
    std::erase_if(m_statements, [this](const auto& it) {
        const auto& [id, statement] = it;
        const bool saysNothing = !statement.isLeaving && !statement.pausedUntil;
        return saysNothing || (!m_members.count(id) && m_clock.now() - statement.noted > statementLifetime);
    });
    return out;
}

std::vector<std::string> ServingDirectory::expire()
{
    std::vector<std::string> out;
    for (auto it = m_members.begin(); it != m_members.end();) {
        if (it->second.lapsedUntil && *it->second.lapsedUntil <= m_clock.now()) {
            out.push_back(it->first);
            it = m_members.erase(it);
            ++m_version;
        } else {
            ++it;
        }
    }
    return out;
}

const UpstreamEntry* ServingDirectory::find(std::string_view id) const
{
    auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second.entry;
}

std::vector<const UpstreamEntry*> ServingDirectory::usable(std::string_view service) const
{
    return receptive(service, false);
}

std::vector<const UpstreamEntry*> ServingDirectory::pausing(std::string_view service) const
{
    return receptive(service, true);
}

std::vector<const UpstreamEntry*> ServingDirectory::receptive(std::string_view service, bool isPausing) const
{
    std::vector<const UpstreamEntry*> out;
    for (const auto& [id, member] : m_members) {
        if (member.entry.service == service && !isLeaving(member.entry) && pausedUntil(id).has_value() == isPausing)
            out.push_back(&member.entry);
    }
    return out;
}

std::optional<SteadyTime> ServingDirectory::pausedUntil(std::string_view id) const
{
    auto it = m_statements.find(id);
    const bool isPausing
        = it != m_statements.end() && it->second.pausedUntil && *it->second.pausedUntil > m_clock.now();
    return isPausing ? it->second.pausedUntil : std::nullopt;
}

ServingDirectory::StatementCounts ServingDirectory::countStatements() const
{
    StatementCounts out;
    for (const auto& [id, statement] : m_statements) {
        out.leaving += statement.isLeaving ? 1 : 0;
        out.pausing += pausedUntil(id) ? 1 : 0;
    }
    return out;
}

bool ServingDirectory::isLeaving(const UpstreamEntry& entry) const
{
    auto it = m_statements.find(entry.id);
    return entry.isDraining || (it != m_statements.end() && it->second.isLeaving);
}

std::vector<const UpstreamEntry*> ServingDirectory::all() const
{
    std::vector<const UpstreamEntry*> out;
    for (const auto& [id, member] : m_members)
        out.push_back(&member.entry);
    return out;
}

} // namespace bulrushstack
