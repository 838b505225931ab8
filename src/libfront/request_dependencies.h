#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/serving/origin_replicator.h"
#include "bulrushstack/teams/quota_issuer.h"
#include "front_metrics.h"
#include "front_state.h"
#include "process_monitor.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// What the handling of a request needs from the rest of the instance: one interface for each service that a request may
// wait for.

namespace bulrushstack {

/// Has adapters loaded on demand; implemented by the placement agent.
class AdapterPlacement {
public:
    virtual ~AdapterPlacement() = default;

    /// Returns the id of an upstream that has the adapter loaded, after loading it if necessary. Fails with
    /// Errc::Unavailable if no instance holds the placement lease or no upstream with the model could load the adapter,
    /// and with the error of the call to the lease holder.
    virtual boost::asio::awaitable<Result<std::string>> placeAdapter(AdapterDemand demand, SteadyTime deadline) = 0;
};

/// Permission to send one request to an upstream.
struct Permit {
    /// Reading of Clock::bootNow() from which on the permit is void; empty if the upstream states no rate limit.
    std::optional<SteadyTime> sendBy;

    friend bool operator==(const Permit&, const Permit&) = default;
};

/// Obtains permits for requests to upstreams that state a rate limit; implemented by PermitClient.
class PermitSource {
public:
    virtual ~PermitSource() = default;

    /// Returns a permit if a request may be sent to the upstream at once. If not, the directory lists the upstream as
    /// suspended until a permit can be expected. `startedAt` is the start time of the upstream's process, in Unix
    /// milliseconds.
    virtual boost::asio::awaitable<std::optional<Permit>> obtain(
        std::string upstream, std::uint64_t startedAt, SteadyTime deadline)
        = 0;
};

/// What the instances know of a stream.
struct OriginLookup {
    OriginReply reply;
    bool isPeerReached = false; ///< Whether another instance answered.
};

/// Names the instances that this one knows; implemented by StreamOriginService.
class PeerSource {
public:
    virtual ~PeerSource() = default;

    /// Returns the instances; the own one may be among them.
    virtual const std::vector<Peer>& peers() const = 0;
};

/// Remembers where streams began, and finds out where one began that a caller takes up again; implemented by
/// StreamOriginService.
class StreamOriginSource {
public:
    virtual ~StreamOriginSource() = default;

    /// Records a stream whose first event comes from an upstream of this instance.
    virtual void recordOrigin(StreamOrigin origin) = 0;

    /// Returns what this instance and the others that remember the stream know of it.
    virtual boost::asio::awaitable<OriginLookup> findOrigin(OriginRequest request, SteadyTime deadline) = 0;
};

/// Reads from the store what the directory may not contain yet; implemented by StoreSynchronizer.
class UpstreamReader {
public:
    virtual ~UpstreamReader() = default;

    /// Reads the upstream's row from the store; returns an empty optional if it does not exist or is unreadable. Fails
    /// if the store does not respond in time.
    virtual boost::asio::awaitable<Result<std::optional<UpstreamEntry>>> readUpstream(
        std::string id, SteadyTime deadline)
        = 0;

    /// Returns the recent software versions of a service, those included that the store lists by now. Fails if the
    /// store does not respond in time.
    virtual boost::asio::awaitable<Result<std::set<std::string>>> readVersions(std::string service, SteadyTime deadline)
        = 0;
};

struct RelayOptions {
    SteadyTime deadline {};
    unsigned possibleRuns = 0; ///< Number of upstreams that may have run the request.
    std::shared_ptr<HttpCancellation> cancellation;
};

/// Hands requests to other instances; implemented by PeerRelay.
class RequestRelay {
public:
    virtual ~RequestRelay() = default;

    /// Sends the request to another instance that takes it, and returns its response. Fails with Verdict::NotRun if
    /// none takes it, and with Verdict::MayHaveRun if the one that may have taken it does not respond.
    virtual boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> open(HttpRequest request, RelayOptions options)
        = 0;
};

/// A request that another instance handed to this one.
struct RelayedRequest {
    HttpRequest request; ///< as the client sent it, with the time that is left
    unsigned possibleRuns = 0; ///< Number of upstreams that may have run it before.

    friend bool operator==(const RelayedRequest&, const RelayedRequest&) = default;
};

/// Hears of requests that brittle upstreams refused for want of room; implemented by RefusalNotices.
class RefusalObserver {
public:
    virtual ~RefusalObserver() = default;

    /// Records a refusal. `refusalsPerSecond` is what the upstream stands.
    virtual void recordRefusal(const std::string& upstream, std::uint64_t startedAt, double refusalsPerSecond) = 0;
};

/// Obtains units of the quotas of teams; implemented by QuotaClient.
class QuotaSource {
public:
    virtual ~QuotaSource() = default;

    /// Obtains the units of one request of a team with a quota, or says when the team can expect units again.
    virtual boost::asio::awaitable<QuotaReply> obtain(const TeamSpec& team, double units, SteadyTime deadline) = 0;

    /// Gives the units of a request that certainly did not run back to its team.
    virtual void giveBack(const std::string& team, double units) = 0;
};

/// Obtains trials of what is quarantined; implemented by TrialClient.
class TrialSource {
public:
    virtual ~TrialSource() = default;

    /// Returns whether the request may be let through once, to test whether its contents still crash upstreams.
    virtual boost::asio::awaitable<bool> obtain(TrialRequest request, SteadyTime deadline) = 0;
};

/// Objects that the forwarders of all requests share.
struct RequestDependencies {
    FrontState& state;
    HttpClient& client;
    ProcessMonitors& processes;
    const RequestFormat& format;
    AdapterPlacement& adapters;
    PermitSource& permits;
    QuotaSource& quotas;
    TrialSource& trials;
    StreamOriginSource& origins;
    UpstreamReader& upstreams;
    RequestRelay& relay;
    RefusalObserver& refusals;
    FrontMetrics& metrics;
    /// Memory of all responses that are being buffered.
    std::shared_ptr<BufferBudget> responseBuffers;
};

} // namespace bulrushstack
