#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace bulrushstack {

/// Bounds the memory that concurrent buffers take together, for messages of peers that may be faulty.
///
/// No buffer may become larger than what is left after it. A few large buffers thus leave room for many small ones: n
/// buffers that grow without end get an equal share of the limit each, and the (n+1)th share stays free.
class BufferBudget {
public:
    /// A budget that is part of a whole is bounded by the rest of the whole as well.
    explicit BufferBudget(std::size_t limit, std::shared_ptr<BufferBudget> whole = nullptr);

    std::size_t used() const { return m_used; } ///< in bytes
    std::size_t limit() const { return m_limit; }

    /// Sets a new limit; buffers that exceed it are kept, but cannot grow.
    void setLimit(std::size_t limit) { m_limit = limit; }

private:
    friend class BufferShare;

    std::int64_t left() const; ///< in bytes; negative while buffers exceed the limit
    void replace(std::size_t oldSize, std::size_t newSize);

    std::size_t m_limit;
    std::shared_ptr<BufferBudget> m_whole;
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

    /// Accounts for a new size of a buffer that cannot be refused any more.
    void hold(std::size_t size);

    /// Returns whether the buffer may grow to the size once other buffers have released the given number of bytes.
    bool fits(std::size_t size, std::size_t released = 0) const;

    std::size_t size() const { return m_size; }

private:
    std::shared_ptr<BufferBudget> m_budget;
    std::size_t m_size = 0;
};

} // namespace bulrushstack
