#include "bulrushstack/net/buffer_budget.h"

#include <utility>

namespace bulrushstack {

BufferBudget::BufferBudget(std::size_t limit)
    : m_limit(limit)
{
}

BufferShare::BufferShare(std::shared_ptr<BufferBudget> budget)
    : m_budget(std::move(budget))
{
}

BufferShare::~BufferShare() { resize(0); }

bool BufferShare::resize(std::size_t size)
{
    if (!m_budget)
        return true;
    const std::size_t others = m_budget->m_used - m_size;
    if (size > m_size && size > (m_budget->m_limit - others) / 2)
        return false;
    m_budget->m_used = others + size;
    m_size = size;
    return true;
}

} // namespace bulrushstack
