#include "bulrushstack/serving/suspect_requests.h"

#include <algorithm>

namespace bulrushstack {

namespace {

constexpr std::uint32_t quarantineThreshold = 2;
constexpr std::chrono::minutes suspectLifetime { 10 };
constexpr std::size_t suspectLimit = 1024;

} // namespace

SuspectRequests::SuspectRequests(const Clock& clock)
    : m_clock(clock)
{
}

void SuspectRequests::recordCrash(const std::string& digest)
{
    removeExpired();
    auto& suspect = m_suspects[digest];
    ++suspect.crashes;
    suspect.lastCrash = m_clock.now();
    ++m_unreported[digest];
}

void SuspectRequests::recordServed(const std::string& digest)
{
    m_suspects.erase(digest);
    m_unreported.erase(digest);
}

void SuspectRequests::merge(const std::vector<CrashCount>& counts)
{
    removeExpired();
    for (const auto& it : counts) {
        auto& suspect = m_suspects[it.digest];
        if (it.crashes > suspect.crashes)
            suspect.lastCrash = m_clock.now();
        suspect.crashes = std::max(suspect.crashes, it.crashes);
    }
}

bool SuspectRequests::isQuarantined(const std::string& digest) const
{
    auto it = m_suspects.find(digest);
    return it != m_suspects.end() && it->second.crashes >= quarantineThreshold
        && m_clock.now() - it->second.lastCrash < suspectLifetime;
}

std::vector<CrashCount> SuspectRequests::takeUnreportedCounts()
{
    std::vector<CrashCount> out;
    for (const auto& [digest, crashes] : m_unreported)
        out.push_back({ .digest = digest, .crashes = crashes });
    m_unreported.clear();
    return out;
}

std::vector<CrashCount> SuspectRequests::counts(std::size_t limit) const
{
    std::vector<CrashCount> out;
    for (const auto& [digest, suspect] : m_suspects)
        out.push_back({ .digest = digest, .crashes = suspect.crashes });
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.crashes > b.crashes; });
    if (out.size() > limit)
        out.resize(limit);
    return out;
}

void SuspectRequests::removeExpired()
{
    std::erase_if(m_suspects, [&](const auto& it) { return m_clock.now() - it.second.lastCrash >= suspectLifetime; });
    if (m_suspects.size() < suspectLimit)
        return;
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
        [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; }));
}

} // namespace bulrushstack
