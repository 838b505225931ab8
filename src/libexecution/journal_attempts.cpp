#include "journal_attempts.h"

namespace bulrushstack {

AttemptRegistry::AttemptRegistry(std::size_t endedLimit)
    : m_endedLimit(endedLimit)
{
}

void AttemptRegistry::begin(const std::string& attempt) { m_active.emplace(attempt, Phase::Claiming); }

bool AttemptRegistry::tryDispatch(const std::string& attempt)
{
    auto it = m_active.find(attempt);
    if (it == m_active.end() || it->second != Phase::Claiming)
        return false;
    it->second = Phase::Dispatched;
    return true;
}

void AttemptRegistry::end(const std::string& attempt, AttemptState state)
{
    m_active.erase(attempt);
    if (state == AttemptState::Unknown)
        return;
    if (m_ended.insert_or_assign(attempt, state).second)
        m_endOrder.push_back(attempt);
    while (m_endOrder.size() > m_endedLimit) {
        m_ended.erase(m_endOrder.front());
        m_endOrder.pop_front();
    }
}

AttemptState AttemptRegistry::query(const std::string& attempt)
{
    if (auto it = m_active.find(attempt); it != m_active.end()) {
        if (it->second == Phase::Dispatched)
            return AttemptState::Running;
        it->second = Phase::Refused;
        return AttemptState::Refused;
    }
    auto it = m_ended.find(attempt);
    return it == m_ended.end() ? AttemptState::Unknown : it->second;
}

} // namespace bulrushstack
