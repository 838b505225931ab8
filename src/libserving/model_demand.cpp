#include "bulrushstack/serving/model_demand.h"

#include <cmath>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds averagingTime { 2.0 };

} // namespace

DemandEstimate::DemandEstimate(const Clock& clock)
    : m_clock(clock)
{
}

double DemandEstimate::faded(double value, const Rate& rate) const
{
    return value * std::exp(-Seconds(m_clock.now() - rate.updated).count() / averagingTime.count());
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
        if (it.requests > 0)
            rate.lastAsked = now;
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

SteadyTime DemandEstimate::lastAsked(const std::string& service, const std::string& model) const
{
    const auto* rate = find(service, model);
    return rate ? rate->lastAsked : SteadyTime();
}

} // namespace bulrushstack
