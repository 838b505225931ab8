#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace bulrushstack {

/// Ends what was begun when its scope is left, by whatever way: the end of a coroutine, an exception, or the
/// destruction of a coroutine that is suspended. Does nothing if the owner of what was begun no longer exists.
class ScopeGuard {
public:
    ScopeGuard(std::weak_ptr<const void> owner, std::function<void()> end)
        : m_owner(std::move(owner))
        , m_end(std::move(end))
    {
    }

    ~ScopeGuard()
    {
        if (!m_owner.expired())
            m_end();
    }

    ScopeGuard(const ScopeGuard&) = delete;
    ScopeGuard& operator=(const ScopeGuard&) = delete;

private:
    std::weak_ptr<const void> m_owner;
    std::function<void()> m_end;
};

} // namespace bulrushstack
