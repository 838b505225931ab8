#include "bulrushstack/serving/retry_budget.h"

#include <algorithm>

namespace bulrushstack {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_balance(options.burst)
{
}

void RetryBudget::recordRequest() { m_balance = std::min(m_options.burst, m_balance + m_options.ratio); }

void RetryBudget::setBurst(double burst)
{
    m_options.burst = burst;
    m_balance = std::min(m_balance, burst);
}

bool RetryBudget::tryConsume()
{
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

} // namespace bulrushstack
