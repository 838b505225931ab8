#pragma once

#include "bulrushstack/kernel/clock.h"

#include <map>
#include <string>

namespace bulrushstack {

/// Tells whether this instance is cut off from the upstreams. An upstream that refuses connections may have crashed; if
/// several do, and no new connection to any upstream succeeds, the path of this instance is at fault, and other
/// instances can probably serve its requests. Connections that were open before say nothing: they may live on while new
/// ones are refused. Performs no I/O.
class UpstreamReachability {
public:
    explicit UpstreamReachability(const Clock& clock);

    /// Records that a new connection to an upstream was established.
    void recordConnected();

    /// Records that a connection to the upstream could not be established.
    void recordConnectFailure(const std::string& upstream);

    bool isCutOff() const;

    /// Returns whether a connection to the upstream failed recently, and none to any upstream succeeded since.
    bool hasFailed(const std::string& upstream) const;

private:
    bool isRecent(SteadyTime time) const;

    const Clock& m_clock;
    /// Time of the last failure by upstream, since the last new connection.
    std::map<std::string, SteadyTime> m_failedAt;
};

} // namespace bulrushstack
