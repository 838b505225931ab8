#pragma once

#include <set>

namespace bulrushstack {

/// A request in progress that can be ended before its upstream has responded.
class AbortableRequest {
public:
    virtual ~AbortableRequest() = default;

    /// Ends the request with an error as soon as possible.
    virtual void abort() = 0;
};

/// The requests in progress at an instance. Requests share its ownership, since they may be destroyed with the event
/// loop, after the state of the instance.
class ActiveRequests {
public:
    void add(AbortableRequest& request) { m_requests.insert(&request); }
    void remove(AbortableRequest& request) { m_requests.erase(&request); }

    void abortAll()
    {
        for (auto* it : m_requests)
            it->abort();
    }

private:
    std::set<AbortableRequest*> m_requests;
};

} // namespace bulrushstack
