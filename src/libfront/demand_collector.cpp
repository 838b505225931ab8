#include "demand_collector.h"

namespace bulrushstack {

void DemandCollector::add(const DemandMessage& message)
{
    for (const auto& it : message.models) {
        auto& demand = m_models[{ it.service, it.model }];
        demand.service = it.service;
        demand.model = it.model;
        demand.requests += it.requests;
        demand.workMs += it.workMs;
        demand.unplaced += it.unplaced;
        for (const auto& [version, count] : it.unplacedByVersion)
            demand.unplacedByVersion[version] += count;
        m_isUrgent = m_isUrgent || it.unplaced > 0 || !it.unplacedByVersion.empty();
    }
    for (const auto& it : message.adapters)
        m_adapters[{ it.service, it.model, it.adapter }] = it;
    m_unreachable.insert(message.unreachable.begin(), message.unreachable.end());
    for (const auto& it : message.reporters)
        m_reporters[it.instance] = it;
    for (const auto& it : message.creditUses)
        m_creditUses[it.instance] = it;
}

void DemandCollector::takeInto(DemandMessage& message)
{
    add(message);
    const auto own = std::move(message.reporters);
    DemandMessage out { .instance = message.instance, .reporters = own };
    for (auto& [key, demand] : m_models)
        out.models.push_back(std::move(demand));
    for (auto& [key, demand] : m_adapters)
        out.adapters.push_back(std::move(demand));
    out.unreachable.assign(m_unreachable.begin(), m_unreachable.end());
    for (auto& [instance, member] : m_reporters) {
        if (instance != message.instance)
            out.reporters.push_back(std::move(member));
    }
    for (auto& [instance, use] : m_creditUses)
        out.creditUses.push_back(std::move(use));
    message = std::move(out);
    *this = DemandCollector();
}

} // namespace bulrushstack
