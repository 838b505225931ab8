#pragma once

#include "bulrushstack/kernel/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Where a stream began. Only upstreams of the same service and software version can continue it.
struct StreamOrigin {
    std::string request; ///< Id of the request that got the first event.
    std::string service;
    std::string softwareVersion;

    friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// Remembers where recent streams began, so that a caller can take up a broken stream at any instance. Performs no I/O.
class StreamOrigins {
public:
    /// Time for which a stream is remembered. It is longer than callers wait for a response, retries included.
    static constexpr std::chrono::seconds memory { 60 };

    explicit StreamOrigins(const Clock& clock);

    void record(StreamOrigin origin);

    /// Returns where the stream of a request began; null if it is not known.
    const StreamOrigin* find(std::string_view request) const;

private:
    void dropOldest();

    const Clock& m_clock;
    std::map<std::string, StreamOrigin, std::less<>> m_origins;
    /// Ids of the requests in m_origins by the time at which they were recorded.
    std::multimap<SteadyTime, std::string> m_byTime;
};

} // namespace bulrushstack
