#include "bulrushstack/serving/model_demand.h"

#include "fading.h"
#include <algorithm>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds averagingTime { 2.0 };
constexpr double outputTokenMs = 10; ///< of a step of a batch that also reads prompts
constexpr double sharedPartWork = 0.3; ///< share of the shared parts that is not in a cache

} // namespace

double estimateWorkMs(const ServingRequest& request, const EngineSpec& engine, double prefillMsPerToken)
{
    const double own = ownPromptTokens(request);
    const double shared = std::max(0.0, request.promptTokens - own);
    const double output = request.expectedOutputTokens.value_or(request.outputTokens);
    const double memoryShare
        = (request.promptTokens + output) / static_cast<double>(std::max<std::uint64_t>(1, engine.cacheTokens));
    const double share = std::max(1.0 / engine.slots, memoryShare);
    return (own + sharedPartWork * shared) * prefillMsPerToken + share * output * outputTokenMs;
}

DemandEstimate::DemandEstimate(const Clock& clock)
    : m_clock(clock)
{
}

double DemandEstimate::faded(double value, const Rate& rate) const
{
    return value * fade(m_clock.now() - rate.updated, averagingTime);
}

const DemandEstimate::Rate* DemandEstimate::find(const std::string& service, const std::string& model) const
{
    auto it = m_rates.find({ service, model });
    return it == m_rates.end() ? nullptr : &it->second;
}

void DemandEstimate::add(const std::vector<ModelDemand>& demand)
{
    const auto now = m_clock.now();
    for (const auto& it : demand) {
        auto& rate = m_rates[{ it.service, it.model }];
        rate.work = faded(rate.work, rate) + it.workMs / averagingTime.count();
        rate.unplaced = faded(rate.unplaced, rate) + it.unplaced;
        rate.updated = now;
    }
}

double DemandEstimate::workRate(const std::string& service, const std::string& model) const
{
    const auto* rate = find(service, model);
    return rate ? faded(rate->work, *rate) : 0;
}

double DemandEstimate::unplaced(const std::string& service, const std::string& model) const
{
    const auto* rate = find(service, model);
    return rate ? faded(rate->unplaced, *rate) : 0;
}

} // namespace bulrushstack
