#include "bulrushstack/serving/model_demand.h"

#include "exponential_decay.h"
#include <algorithm>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds decayTime { 2.0 };
/// Decayed number of streams below which their software version is forgotten.
constexpr double negligibleCount = 0.01;
/// Duration of one decoding step of a batch that also processes prompts; each step yields one output token per request.
constexpr double outputTokenMs = 10;
/// Fraction of the shared prompt parts that is not found in the prefix cache and has to be processed again.
constexpr double sharedPrefixMissRate = 0.3;

} // namespace

double estimateWorkMs(const ServingRequest& request, const EngineSpec& engine, double prefillMsPerToken)
{
    const double own = unsharedPromptTokens(request);
    const double shared = std::max(0.0, request.promptTokens - own);
    const double output = request.expectedOutputTokens.value_or(request.maxOutputTokens);
    const double memoryShare
        = (request.promptTokens + output) / static_cast<double>(std::max<std::uint64_t>(1, engine.kvCacheTokens));
    const double share = std::max(1.0 / engine.slots, memoryShare);
    return (own + sharedPrefixMissRate * shared) * prefillMsPerToken + share * output * outputTokenMs;
}

DemandEstimator::DemandEstimator(const Clock& clock)
    : m_clock(clock)
{
}

double DemandEstimator::decayed(double value, const Rate& rate) const
{
    return value * decayFactor(m_clock.now() - rate.updated, decayTime);
}

std::map<std::string, double> DemandEstimator::decayed(std::map<std::string, double> values, const Rate& rate) const
{
    for (auto& [version, value] : values)
        value = decayed(value, rate);
    std::erase_if(values, [](const auto& it) { return it.second < negligibleCount; });
    return values;
}

const DemandEstimator::Rate* DemandEstimator::find(const std::string& service, const std::string& model) const
{
    auto it = m_rates.find({ service, model });
    return it == m_rates.end() ? nullptr : &it->second;
}

void DemandEstimator::add(const std::vector<ModelDemand>& demand)
{
    const auto now = m_clock.now();
    for (const auto& it : demand) {
        auto& rate = m_rates[{ it.service, it.model }];
        rate.work = decayed(rate.work, rate) + it.workMs / decayTime.count();
        rate.unplaced = decayed(rate.unplaced, rate) + it.unplaced;
        rate.unplacedByVersion = decayed(rate.unplacedByVersion, rate);
        for (const auto& [version, count] : it.unplacedByVersion)
            rate.unplacedByVersion[version] += count;
        rate.updated = now;
    }
}

double DemandEstimator::workRate(const std::string& service, const std::string& model) const
{
    const auto* rate = find(service, model);
    return rate ? decayed(rate->work, *rate) : 0;
}

double DemandEstimator::unplaced(const std::string& service, const std::string& model) const
{
    const auto* rate = find(service, model);
    return rate ? decayed(rate->unplaced, *rate) : 0;
}

std::map<std::string, double> DemandEstimator::unplacedByVersion(
    const std::string& service, const std::string& model) const
{
    const auto* rate = find(service, model);
    return rate ? decayed(rate->unplacedByVersion, *rate) : std::map<std::string, double>();
}

} // namespace bulrushstack
