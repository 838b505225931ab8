#include "bulrushstack/serving/recent_refusals.h"

namespace bulrushstack {

namespace {

/// Age up to which refusals count: those of one second can make an upstream fail, and it takes some time until its
/// failure is noticed.
constexpr std::chrono::milliseconds countedAge { 2000 };
/// Fraction of the refusals that an upstream stands from which on they can be the cause of its failure.
constexpr double explainingShare = 0.5;

} // namespace

RecentRefusals::RecentRefusals(const Clock& clock)
    : m_clock(clock)
{
}

void RecentRefusals::record(const std::string& upstream, std::uint64_t startedAt, unsigned refusals)
{
    removeOld();
    m_batches[{ upstream, startedAt }].push_back({ .at = m_clock.now(), .refusals = refusals });
}

bool RecentRefusals::mayExplainFailure(
    const std::string& upstream, std::uint64_t startedAt, double refusalsPerSecond) const
{
    const auto it = m_batches.find({ upstream, startedAt });
    if (it == m_batches.end())
        return false;
    double n = 0;
    for (const auto& batch : it->second) {
        if (m_clock.now() - batch.at < countedAge)
            n += batch.refusals;
    }
    return n > 0 && n >= explainingShare * refusalsPerSecond;
}

void RecentRefusals::removeOld()
{
    const auto isOld = [now = m_clock.now()](const Batch& it) { return now - it.at >= countedAge; };
    for (auto& [process, batches] : m_batches) {
        while (!batches.empty() && isOld(batches.front()))
            batches.pop_front();
    }
    std::erase_if(m_batches, [](const auto& it) { return it.second.empty(); });
}

} // namespace bulrushstack
