#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/platform/instance_list.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// Known state of an upstream, from the platform's instance list, the upstream's load reports and this instance's own
/// requests.
struct UpstreamView {
    InstanceRecord record;
    bool isReachable = true; ///< false for a limited time after a failed connection, or until one succeeds
    std::uint32_t inFlight = 0; ///< requests of this instance that are in progress
    std::vector<ResidentModel> resident; ///< models in memory, from the last load report of this incarnation of any age
    std::optional<LoadReport> load; ///< last load report; empty if there is none or it has expired
    std::chrono::nanoseconds loadAge {}; ///< time since the last load report of this incarnation

    friend bool operator==(const UpstreamView&, const UpstreamView&) = default;
};

/// Known state of another instance of bulrushd.
struct PeerView {
    InstanceRecord record;
    std::uint64_t revision = 0; ///< configuration revision in force there, from the last heartbeat
    std::string digest; ///< digest of that revision
    std::chrono::nanoseconds age {}; ///< time since the last heartbeat; max() if none was received

    friend bool operator==(const PeerView&, const PeerView&) = default;
};

/// States of all upstreams at one point in time, sorted by id.
using UpstreamSnapshot = std::vector<UpstreamView>;

struct InstanceDirectoryOptions {
    std::chrono::nanoseconds loadReportLifetime = std::chrono::seconds(5); ///< age at which a load report expires
    /// Time for which an upstream counts as unreachable after a failed connection.
    std::chrono::nanoseconds unreachableDuration = std::chrono::seconds(2);
};

/// Combines what this instance knows about its peers and upstreams; performs no I/O. An instance that any source
/// reports as leaving stays in that state until its incarnation increases, because other sources may still show it as
/// live. All methods must be called on one thread. Observations of an id that is not in the instance list are ignored,
/// except for its leaving state.
class InstanceDirectory {
public:
    InstanceDirectory(const Clock& clock, InstanceDirectoryOptions options);

    /// Replaces the known instances by a new version of the platform's instance list, which was requested at the given
    /// time. Observations of instances that are no longer in the list are discarded, except for their leaving state.
    void updateInstanceList(const std::vector<InstanceRecord>& records, SteadyTime requestedAt);

    /// As above, for a list that was requested just now.
    void updateInstanceList(const std::vector<InstanceRecord>& records);

    /// Records that the given incarnation of an instance is leaving. The instance need not be in the instance list yet.
    void markLeaving(std::string_view id, std::uint64_t incarnation);

    /// Returns the ids of the leaving instances and upstreams and the highest incarnation of each that is known to be
    /// leaving, sorted by id.
    std::vector<std::pair<std::string, std::uint64_t>> leaving() const;

    /// Records whether a connection to an upstream succeeded.
    void recordConnection(std::string_view id, bool isSuccess);

    /// Records the load report of an upstream; ignores it if it is from an earlier incarnation.
    void recordLoadReport(std::string_view id, LoadReport report);

    /// Records the content of a peer's heartbeat; ignores all but the state if it is from an earlier incarnation.
    void recordHeartbeat(std::string_view id, std::uint64_t incarnation, InstanceState state, std::uint64_t revision,
        std::string digest);

    /// Counts the requests of this instance in progress on an upstream. Each call of beginRequest() must be followed by
    /// one call of endRequest().
    void beginRequest(std::string_view id);
    void endRequest(std::string_view id);

    UpstreamSnapshot upstreams() const;
    std::vector<PeerView> peers() const;

    /// Returns the time since the current instance list was requested; max() before the first.
    std::chrono::nanoseconds instanceListAge() const;

private:
    struct Member {
        InstanceRecord record;
        std::optional<SteadyTime> unreachableSince;
        std::uint32_t inFlight = 0;
        std::optional<LoadReport> load;
        SteadyTime loadTime {};
        std::optional<SteadyTime> heartbeatTime;
        std::uint64_t revision = 0;
        std::string digest;
    };

    Member* findMember(std::string_view id);
    bool isLeaving(const InstanceRecord& record) const;
    InstanceRecord effectiveRecord(const Member& member) const;

    const Clock& m_clock;
    InstanceDirectoryOptions m_options;
    std::map<std::string, Member, std::less<>> m_members;
    std::map<std::string, std::uint64_t, std::less<>> m_leaving; ///< id to highest leaving incarnation
    std::optional<SteadyTime> m_instanceListTime;
};

} // namespace bulrushstack
