#include "bulrushstack/serving/upstream_directory.h"

#include <algorithm>
#include <set>

namespace bulrushstack {

namespace {

constexpr std::chrono::nanoseconds noGrace { 0 };

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
    std::vector<const UpstreamEntry*> out;
    for (const auto& [id, member] : m_members) {
        if (member.entry.service == service && !member.entry.isDraining)
            out.push_back(&member.entry);
    }
    return out;
}

std::vector<const UpstreamEntry*> ServingDirectory::all() const
{
    std::vector<const UpstreamEntry*> out;
    for (const auto& [id, member] : m_members)
        out.push_back(&member.entry);
    return out;
}

} // namespace bulrushstack
