#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/relay/store_relay.h"
#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/placement_planner.h"
#include "demand_collector.h"
#include "front_metrics.h"
#include "front_state.h"
#include "lease_manager.h"
#include "permit_client.h"
#include "quarantine_store.h"
#include "quota_client.h"
#include "request_dependencies.h"
#include "stream_origin_service.h"
#include "trial_client.h"
#include "version_history.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace bulrushstack {

/// Paths of the requests that one instance sends to another one.
inline constexpr std::string_view demandPath = "/v1/placement/demand";
inline constexpr std::string_view adapterPath = "/v1/placement/adapter";

/// Sends orders to the upstreams while this instance holds the placement lease, and reports the demand of this instance
/// to the holder otherwise, directly or through a reader. The holder also chooses the readers. Other instances reach
/// the agent over HTTP, through HttpHandler.
class PlacementAgent final : public AdapterPlacement, public HttpHandler {
public:
    PlacementAgent(FrontState& state, HttpClient& client, FrontBinding& binding, FrontMetrics& metrics,
        StoreRelay& relay, StreamOriginService& origins);

    /// Starts the loops for the lease, the demand reports and the planning. They run until stop() is called.
    void start();

    /// Stops sending orders and releases the lease.
    boost::asio::awaitable<void> stop();

    boost::asio::awaitable<Result<std::string>> placeAdapter(AdapterDemand demand, SteadyTime deadline) override;
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

    /// Returns the source of permits for upstreams with a rate limit. The holder of the placement lease issues them.
    PermitSource& permits() { return m_permits; }

    /// Returns the source of units of teams' quotas. The holder of the placement lease keeps the accounts.
    QuotaSource& quotas() { return m_quotas; }

    /// Returns the source of trials of what is quarantined. The holder of the placement lease grants them.
    TrialSource& trials() { return m_trials; }

private:
    struct ServicePlacement {
        ServicePlacement(const Clock& clock, const EngineSpec& engine)
            : tracker(clock, engine)
        {
        }

        ResidencyTracker tracker;
        /// Time of the last request for each adapter.
        std::map<AdapterKey, SteadyTime> lastRequested;
        /// Upstreams that are shutting down, do not accept connections, or accept fewer requests than are meant for
        /// them.
        std::set<std::string> excludedUpstreams;
        /// Upstreams whose state report is being fetched.
        std::set<std::string> pendingReports;
        /// Adapters that are being loaded.
        std::set<AdapterKey> loadingAdapters;
    };

    struct Reporter {
        RelayMember member;
        SteadyTime lastReport {};
    };

    HttpResponse respondToDemand(const HttpRequest& request);
    boost::asio::awaitable<HttpResponse> respondToAdapterDemand(const HttpRequest& request);
    HttpResponse respondToPermitRequest(const HttpRequest& request);
    HttpResponse respondToQuotaRequest(const HttpRequest& request);
    HttpResponse respondToTrialRequest(const HttpRequest& request);

    boost::asio::awaitable<void> reportDemand();
    boost::asio::awaitable<void> keepHolderRows();
    boost::asio::awaitable<void> sendDemand();
    boost::asio::awaitable<void> sendDemandTo(Address address, std::optional<StoreReader> reader);
    void handleReply(const DemandReply& reply, const std::optional<StoreReader>& reader);
    DemandMessage collectDemand();
    DemandReply relayDemand(const DemandMessage& message);
    static void offerPeers(const DemandMessage& message, DemandReply& reply, const std::vector<Peer>& peers);
    std::vector<Peer> allPeers();
    void exchangeCrashes(const DemandMessage& message, DemandReply& reply);
    bool knowsAllInstances();
    unsigned countInstances();
    std::vector<StoreReader> chooseReaders(const std::string& zone) const;
    boost::asio::awaitable<void> runPlanning();

    void recordHolderLost(const std::string& holder, const std::string& reason);
    void applyReply(const DemandReply& reply);
    void applyPeers(const DemandReply& reply);
    void beginTerm();
    void assumeLoadsOfPreviousHolder(ServicePlacement& placement);
    void updateTracker(const ServiceSpec& service);
    void sendPlannedOrders(const std::string& service, ServicePlacement& placement);
    void resendUnresolvedOrders(const std::string& service, ServicePlacement& placement);
    void fetchMissingReports(const std::string& service, ServicePlacement& placement);
    ServicePlacement* findPlacement(const std::string& service);

    boost::asio::awaitable<void> monitorReachability(std::string upstream);
    boost::asio::awaitable<OrderResult> executeOrder(std::string service, UpstreamOrder order, std::string reason);
    boost::asio::awaitable<void> fetchUpstreamReport(std::string service, std::string upstream);
    boost::asio::awaitable<Result<std::string>> placeAdapterAsHolder(AdapterDemand demand, SteadyTime deadline);
    boost::asio::awaitable<bool> loadAdapter(std::string service, AdapterKey adapter, AdapterSlotChoice choice);
    DemandReply processDemand(const DemandMessage& message);

    FrontState& m_state;
    HttpClient& m_client;
    FrontBinding& m_binding;
    FrontMetrics& m_metrics;
    StoreRelay& m_relay;
    StreamOriginService& m_origins;
    LeaseManager m_leaseManager;
    PermitClient m_permits;
    QuotaClient m_quotas;
    TrialClient m_trials;
    QuarantineStore m_quarantineStore;
    VersionHistory m_versionHistory;
    DemandCollector m_collector;
    /// Last reply of the holder, which is passed on to the instances that report to this one.
    DemandReply m_holderReply;
    bool m_hasPeerList = false; ///< Whether a holder has named the instances that remember streams.
    /// Fingerprint of the crashes known to the instance that last replied to a demand message.
    std::uint64_t m_peerCrashFingerprint = 0;
    /// State of the connection to the lease holder as last logged.
    bool m_isHolderReachable = false;
    /// Fencing token of the lease term at whose beginning the trackers were last reset.
    std::uint64_t m_termFence = 0;
    DemandEstimator m_demandEstimator;
    /// Instances whose demand this one knows as the holder, with the time of their last report.
    std::map<std::string, Reporter> m_reporters;
    /// Time of the last report of each instance that reports to this one directly.
    std::map<std::string, SteadyTime> m_directReports;
    /// Time at which this instance became the holder.
    std::optional<SteadyTime> m_holderSince;
    std::map<std::string, ServicePlacement> m_placements;
    /// Upstreams whose reachability is being checked.
    std::set<std::string> m_monitoredUpstreams;
    /// Start time of the process of each upstream that does not accept connections.
    std::map<std::string, std::uint64_t> m_unreachableUpstreams;
    /// Expires with this object; tells what its coroutines leave behind that the object no longer exists.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace bulrushstack
