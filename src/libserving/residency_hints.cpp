#include "bulrushstack/serving/residency_hints.h"

namespace bulrushstack {

namespace {

/// Upstreams publish their row about once per second, so the row is newer than the hint when the hint expires.
constexpr std::chrono::milliseconds presentLifetime { 4000 };
constexpr std::chrono::milliseconds absentLifetime { 1000 };

} // namespace

ResidencyHints::ResidencyHints(const Clock& clock)
    : m_clock(clock)
{
}

void ResidencyHints::recordPresent(const std::string& upstream, const std::string& model, const std::string& adapter)
{
    m_hints[{ upstream, model, adapter }] = Hint { .isPresent = true, .time = m_clock.now() };
}

void ResidencyHints::recordAbsent(const std::string& upstream, const std::string& model, const std::string& adapter)
{
    m_hints[{ upstream, model, adapter }] = Hint { .isPresent = false, .time = m_clock.now() };
}

bool ResidencyHints::isValid(const Hint& hint) const
{
    return m_clock.now() - hint.time < (hint.isPresent ? presentLifetime : absentLifetime);
}

std::optional<bool> ResidencyHints::find(
    const std::string& upstream, const std::string& model, const std::string& adapter) const
{
    auto it = m_hints.find({ upstream, model, adapter });
    if (it == m_hints.end() || !isValid(it->second))
        return std::nullopt;
    return it->second.isPresent;
}

void ResidencyHints::expire()
{
    std::erase_if(m_hints, [this](const auto& it) { return !isValid(it.second); });
}

} // namespace bulrushstack
