#include "bulrushstack/net/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace bulrushstack {

BufferBudget::BufferBudget(std::size_t limit, std::shared_ptr<BufferBudget> whole)
    : m_limit(limit)
    , m_whole(std::move(whole))
{
}

std::int64_t BufferBudget::left() const
{
    const auto own = static_cast<std::int64_t>(m_limit) - static_cast<std::int64_t>(m_used);
    return m_whole ? std::min(own, m_whole->left()) : own;
}

void BufferBudget::replace(std::size_t oldSize, std::size_t newSize)
{
    m_used = m_used - oldSize + newSize;
    if (m_whole)
        m_whole->replace(oldSize, newSize);
}

BufferShare::BufferShare(std::shared_ptr<BufferBudget> budget)
    : m_budget(std::move(budget))
{
}

BufferShare::~BufferShare() { hold(0); }

bool BufferShare::resize(std::size_t size)
{
    if (!fits(size))
        return false;
    hold(size);
    return true;
}

void BufferShare::hold(std::size_t size)
{
    if (m_budget)
        m_budget->replace(m_size, size);
    m_size = size;
}

bool BufferShare::fits(std::size_t size, std::size_t released) const
{
    if (!m_budget || size <= m_size)
        return true;
    const std::int64_t left = m_budget->left() + static_cast<std::int64_t>(m_size + released);
    return left > 0 && size <= static_cast<std::size_t>(left) / 2;
}

} // namespace bulrushstack
