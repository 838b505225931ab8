#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/upstream_directory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Where a stream began. Only upstreams of the same service and software version can continue it.
struct StreamOrigin {
    std::string request; ///< Id of the request that got the first event.
    std::string service;
    std::string softwareVersion;
    std::string upstream; ///< Id of the upstream that sent the first event.
    std::uint64_t startedAt
        = 0; ///< Start time of the upstream's process as the directory listed it, as in UpstreamEntry.
    std::chrono::milliseconds age {}; ///< Time since the first event.

    friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// Returns whether the stream may have begun at another software version than its origin says: the upstream has another
/// version now, and may have been restarted with it before the first event. An instance that was suspended names the
/// process that it knew before. `now` is the time at which the origin had its age.
bool isVersionDoubtful(const StreamOrigin& origin, SteadyTime now, const UpstreamDirectory& directory);

/// Remembers where recent streams began, so that a caller can take up a broken stream at any instance. Performs no I/O.
class StreamOrigins {
public:
    /// Time for which a stream is remembered. It is longer than callers wait for a response, retries included.
    static constexpr std::chrono::seconds memory { 60 };

    explicit StreamOrigins(const Clock& clock);

    void record(StreamOrigin origin);

    /// Returns where the stream of a request began; empty if it is not known.
    std::optional<StreamOrigin> find(std::string_view request) const;

private:
    struct Record {
        StreamOrigin origin;
        SteadyTime recordedAt {};
    };

    void dropOldest();

    const Clock& m_clock;
    std::map<std::string, Record, std::less<>> m_records;
    /// Ids of the requests in m_records by the time at which they were recorded.
    std::multimap<SteadyTime, std::string> m_byTime;
};

} // namespace bulrushstack
