#include "bulrushstack/serving/upstream_pace.h"

#include "exponential_decay.h"
#include <algorithm>
#include <cmath>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;
using DoubleMs = std::chrono::duration<double, std::milli>;

/// Step of the median of an upstream, as a logarithm. A stream of fifty events finds a factor of two.
constexpr double slowdownStep = 0.03;
/// Step of the median of a model over all upstreams.
constexpr double usualGapStep = 0.01;
constexpr double maxLogSlowdown = 1.4; // a factor of four
constexpr Seconds learntDecayTime { 30 };
/// Time after which a stated factor counts for 1/e. It changes many times a second.
constexpr Seconds statedDecayTime { 0.2 };
/// Weight of the latest statement in the moving average.
constexpr double statedWeight = 0.1;
/// Time without a statement after which the upstreams count as ones that do not state their speed.
constexpr std::chrono::seconds activityPeriod { 30 };
constexpr double minGapMs = 1;

double stepTowards(double estimate, double sample, double step)
{
    return sample > estimate ? estimate + step : sample < estimate ? estimate - step : estimate;
}

} // namespace

UpstreamPace::UpstreamPace(const Clock& clock)
    : m_clock(clock)
{
}

UpstreamPace::Estimate& UpstreamPace::estimateOf(const std::string& upstream, std::uint64_t startedAt)
{
    auto& out = m_estimates[upstream];
    if (out.startedAt != startedAt)
        out = { .startedAt = startedAt };
    return out;
}

void UpstreamPace::recordStated(const std::string& upstream, std::uint64_t startedAt, double slowdown)
{
    const auto now = m_clock.now();
    m_statedAt = now;
    auto& estimate = estimateOf(upstream, startedAt);
    estimate.stated = std::clamp(slowdown, std::exp(-maxLogSlowdown), std::exp(maxLogSlowdown));
    if (estimate.statedAt)
        estimate.statedMean += statedWeight * (estimate.stated - estimate.statedMean);
    else
        estimate.statedMean = estimate.stated;
    estimate.statedAt = now;
}

void UpstreamPace::recordEventGap(
    const std::string& upstream, std::uint64_t startedAt, const std::string& model, std::chrono::nanoseconds gap)
{
    const double gapMs = DoubleMs(gap).count();
    if (!isActive() || gapMs < minGapMs)
        return;
    auto& usual = m_usualGapMs.try_emplace(model, gapMs).first->second;
    auto& estimate = estimateOf(upstream, startedAt);
    const double sample = std::log(gapMs / usual);
    estimate.logSlowdown
        = std::clamp(stepTowards(estimate.logSlowdown, sample, slowdownStep), -maxLogSlowdown, maxLogSlowdown);
    estimate.learntAt = m_clock.now();
    // The usual gap is that of an upstream of usual speed, so that a model whose only copy is on a slow one does not
    // make it look usual.
    const double atUsualSpeed = std::log(gapMs) - estimate.logSlowdown;
    usual = std::exp(stepTowards(std::log(usual), atUsualSpeed, usualGapStep));
}

bool UpstreamPace::isActive() const { return m_statedAt && m_clock.now() - *m_statedAt < activityPeriod; }

double UpstreamPace::slowdown(const std::string& upstream, std::uint64_t startedAt) const
{
    const auto it = m_estimates.find(upstream);
    if (!isActive() || it == m_estimates.end() || it->second.startedAt != startedAt)
        return 1;
    const auto& estimate = it->second;
    const auto now = m_clock.now();
    double out = 1;
    if (estimate.learntAt)
        out = std::exp(estimate.logSlowdown * decayFactor(now - *estimate.learntAt, learntDecayTime));
    if (estimate.statedAt) {
        const double deviation = std::log(estimate.stated / estimate.statedMean);
        out *= std::exp(deviation * decayFactor(now - *estimate.statedAt, statedDecayTime));
    }
    return out;
}

void UpstreamPace::retain(const UpstreamDirectory& directory)
{
    std::erase_if(m_estimates, [&](const auto& it) { return !directory.find(it.first); });
}

} // namespace bulrushstack
