#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/placement_planner.h"
#include "front_metrics.h"
#include "front_state.h"
#include "lease_keeper.h"
#include "request_run.h"

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

        ResidencyTracker ledger;
        std::map<AdapterKey, SteadyTime> asked; ///< when each adapter was last asked for
        std::set<std::string> leaving; ///< upstreams that are draining or refuse connections
        std::set<std::string> reading; ///< upstreams whose state is being read
        std::set<AdapterKey> placing; ///< adapters that are being loaded
    };

    boost::asio::awaitable<void> reportDemand();
    boost::asio::awaitable<void> sendDemand();
    boost::asio::awaitable<void> keepPlacement();

    void noteHolderLost(const LeaseRecord& holder, const std::string& reason);
    void applyReply(const DemandReply& reply);
    void beginTerm();
    void assumeLoadsOfLastHolder(ServicePlacement& placement);
    void updateService(const ServiceSpec& service);
    void planService(const std::string& service, ServicePlacement& placement);
    void giveUnsettled(const std::string& service, ServicePlacement& placement);
    void readUnknown(const std::string& service, ServicePlacement& placement);
    ServicePlacement* findPlacement(const std::string& service);

    boost::asio::awaitable<void> checkReachable(std::string upstream);
    boost::asio::awaitable<OrderResult> giveOrder(std::string service, UpstreamOrder order, std::string reason);
    boost::asio::awaitable<void> readUpstream(std::string service, std::string upstream);
    boost::asio::awaitable<Result<std::string>> placeHere(AdapterDemand adapter, SteadyTime deadline);
    boost::asio::awaitable<bool> loadAdapter(std::string service, AdapterKey adapter, AdapterSlotChoice choice);
    DemandReply takeDemand(const DemandMessage& message);

    FrontState& m_state;
    HttpClient& m_client;
    FrontBinding& m_binding;
    FrontMetrics& m_metrics;
    LeaseKeeper m_keeper;
    bool m_isHolderReached = false; ///< as the log says
    std::uint64_t m_term = 0; ///< fence of the term for which the ledgers were read
    DemandEstimator m_demand;
    std::map<std::string, SteadyTime> m_reporters; ///< instances, by when they last reported
    std::map<std::string, ServicePlacement> m_services;
    std::set<std::string> m_checking; ///< upstreams to which a connection is being tried
    std::map<std::string, std::uint64_t> m_down; ///< upstreams that refuse connections, by their start time
};

} // namespace bulrushstack
