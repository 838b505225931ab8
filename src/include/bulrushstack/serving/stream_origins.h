#pragma once

#include "bulrushstack/kernel/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

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
    explicit StreamOrigins(const Clock& clock);

    /// Records a stream that began at this instance.
    void recordOwn(StreamOrigin origin);

    /// Records streams that began at other instances.
    void merge(const std::vector<StreamOrigin>& origins);

    /// Returns where the stream of a request began; null if it is not known.
    const StreamOrigin* find(std::string_view request) const;

    /// Returns the streams that began at this instance after the given time, the newest first, up to
    /// maxReportedStreams.
    std::vector<StreamOrigin> ownSince(SteadyTime since) const;

    /// Bounds the size of a message.
    static constexpr std::size_t maxReportedStreams = 2000;

private:
    struct Record {
        StreamOrigin origin;
        bool isOwn = false;
    };

    void record(StreamOrigin origin, bool isOwn);
    void dropOldest();

    const Clock& m_clock;
    std::map<std::string, Record, std::less<>> m_records;
    /// Ids of the requests in m_records by the time at which they were recorded.
    std::multimap<SteadyTime, std::string> m_byTime;
};

} // namespace bulrushstack
