#pragma once

#include "bulrushstack/engine/model_engine.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/platform/instance_list.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// What is known of an upstream: the platform's record, direct observations and this instance's own requests.
struct UpstreamView {
    InstanceRecord record;
    bool isReachable = true; ///< false after failed connections, until a later success
    std::uint32_t inFlight = 0; ///< requests of this instance
    std::vector<ResidentModel> resident; ///< as last reported by this incarnation, however old the report is
    std::optional<LoadReport> load; ///< empty if unknown or expired
    std::chrono::nanoseconds loadAge {};

    friend bool operator==(const UpstreamView&, const UpstreamView&) = default;
};

/// What is known of another instance of bulrushd.
struct PeerView {
    InstanceRecord record;
    std::uint64_t revision = 0;
    std::string digest;
    std::chrono::nanoseconds age {}; ///< since the last heartbeat; max() if none was heard

    friend bool operator==(const PeerView&, const PeerView&) = default;
};

/// Immutable picture of the upstreams at one moment, in the order of their ids.
using UpstreamSnapshot = std::vector<UpstreamView>;

struct InstanceDirectoryOptions {
    std::chrono::nanoseconds loadReportLifetime
        = std::chrono::seconds(5); ///< age at which a load report counts as unknown
    std::chrono::nanoseconds unreachableDuration = std::chrono::seconds(2); ///< how long a failed connection counts
};

/// State of the known instances and upstreams; no I/O. A leaving mark from any source stays until the incarnation
/// increases. All methods run on one thread.
class InstanceDirectory {
public:
    InstanceDirectory(const Clock& clock, InstanceDirectoryOptions options);

    /// Takes a reading of the platform's instance list. Records that vanished are dropped.
    void updateInstanceList(const std::vector<InstanceRecord>& records);

    /// Marks an instance as leaving for the given incarnation.
    void markLeaving(std::string_view id, std::uint64_t incarnation);

    /// Returns the leaving members with their incarnations, in the order of their ids.
    std::vector<std::pair<std::string, std::uint64_t>> leaving() const;

    /// Notes a failed or successful connection to an upstream.
    void recordConnection(std::string_view id, bool isSuccess);

    void recordLoadReport(std::string_view id, LoadReport report);
    void recordHeartbeat(std::string_view id, std::uint64_t incarnation, InstanceState state, std::uint64_t revision,
        std::string digest);

    /// Counts a request of this instance on an upstream; each begin is followed by one end.
    void beginRequest(std::string_view id);
    void endRequest(std::string_view id);

    UpstreamSnapshot upstreams() const;
    std::vector<PeerView> peers() const;

    /// Returns how long ago the last reading of the instance list was; max() before the first.
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
    std::map<std::string, std::uint64_t, std::less<>> m_leaving; ///< id to the highest incarnation that is leaving
    std::optional<SteadyTime> m_instanceListTime;
};

} // namespace bulrushstack
