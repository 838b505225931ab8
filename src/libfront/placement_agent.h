#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/placement_planner.h"
#include "front_metrics.h"
#include "front_state.h"
#include "lease_manager.h"
#include "request_forwarder.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace bulrushstack {

/// Gives orders to the upstreams while this instance holds the placement lease, and reports the demand of this instance
/// to the holder otherwise. Other instances reach it through its HttpHandler.
class PlacementAgent final : public AdapterPlacement, public HttpHandler {
public:
    PlacementAgent(
        FrontState& state, HttpClient& client, FrontBinding& binding, FrontMetrics& metrics, Address controlAddress);

    /// Starts the loops; they run until stop().
    void start();

    /// Stops giving orders and gives the lease back.
    boost::asio::awaitable<void> stop();

    boost::asio::awaitable<Result<std::string>> placeAdapter(AdapterDemand adapter, SteadyTime deadline) override;
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    struct ServicePlacement {
        ServicePlacement(const Clock& clock, const EngineSpec& engine)
            : ledger(clock, engine)
        {
        }

        ResidencyLedger ledger;
        std::map<AdapterName, SteadyTime> lastRequested; ///< when each adapter was last asked for
        std::set<std::string> excludedUpstreams; ///< upstreams that are draining or refuse connections
        std::set<std::string> pendingReports; ///< upstreams whose state is being read
        std::set<AdapterName> loadingAdapters; ///< adapters that are being loaded
    };

    boost::asio::awaitable<void> reportDemand();
    boost::asio::awaitable<void> sendDemand();
    boost::asio::awaitable<void> runPlanning();

    void reportHolderLost(const LeaseRecord& holder, const std::string& reason);
    void applyReply(const DemandReply& reply);
    void beginTerm();
    void assumeLoadsOfPreviousHolder(ServicePlacement& placement);
    void updateLedger(const ServiceSpec& service);
    void sendPlannedOrders(const std::string& service, ServicePlacement& placement);
    void resendUnsettledOrders(const std::string& service, ServicePlacement& placement);
    void fetchMissingReports(const std::string& service, ServicePlacement& placement);
    ServicePlacement* findPlacement(const std::string& service);

    boost::asio::awaitable<void> monitorReachability(std::string upstream);
    boost::asio::awaitable<OrderAnswer> executeOrder(std::string service, UpstreamOrder order, std::string reason);
    boost::asio::awaitable<void> fetchUpstreamReport(std::string service, std::string upstream);
    boost::asio::awaitable<Result<std::string>> placeAdapterAsHolder(AdapterDemand adapter, SteadyTime deadline);
    boost::asio::awaitable<bool> loadAdapter(std::string service, AdapterName adapter, AdapterChoice choice);
    DemandReply processDemand(const DemandMessage& message);

    FrontState& m_state;
    HttpClient& m_client;
    FrontBinding& m_binding;
    FrontMetrics& m_metrics;
    LeaseManager m_leaseManager;
    bool m_isHolderReachable = false; ///< as the log says
    std::uint64_t m_termFence = 0; ///< fence of the term for which the ledgers were read
    DemandEstimate m_demand;
    std::map<std::string, SteadyTime> m_lastReportTimes; ///< instances, by when they last reported
    std::map<std::string, ServicePlacement> m_placements;
    std::set<std::string> m_monitoredUpstreams; ///< upstreams to which a connection is being tried
    std::map<std::string, std::uint64_t>
        m_unreachableUpstreams; ///< upstreams that refuse connections, by their start time
};

} // namespace bulrushstack
