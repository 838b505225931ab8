#pragma once

#include <cstddef>
#include <memory>

namespace bulrushstack {

/// Bounds the memory that concurrent buffers take together, for messages of peers that may be faulty.
///
/// No buffer may become larger than what is left after it. A few large buffers thus leave room for many small ones: n
/// buffers that grow without end get an equal share of the limit each, and the (n+1)th share stays free.
class BufferBudget {
public:
    explicit BufferBudget(std::size_t limit);

    std::size_t used() const { return m_used; } ///< in bytes

private:
    friend class BufferShare;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

/// The memory of one buffer in a BufferBudget; released with the object. Without a budget every size is permitted.
class BufferShare {
public:
    explicit BufferShare(std::shared_ptr<BufferBudget> budget);
    ~BufferShare();

    BufferShare(const BufferShare&) = delete;
    BufferShare& operator=(const BufferShare&) = delete;

    /// Accounts for a new size of the buffer, in bytes. Returns false, without a change, if the buffer must not grow to
    /// it.
    bool resize(std::size_t size);

private:
    std::shared_ptr<BufferBudget> m_budget;
    std::size_t m_size = 0;
};

} // namespace bulrushstack
