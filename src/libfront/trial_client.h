#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/serving/trial_reservations.h"
#include "front_state.h"
#include "lease_holder.h"
#include "request_dependencies.h"

#include <string_view>

namespace bulrushstack {

/// Path of the request for a trial that one instance sends to another one.
inline constexpr std::string_view trialPath = "/v1/placement/trial";

/// Obtains trials of what is quarantined. The holder of the placement lease grants them, so that all instances together
/// let one request through at a time. While the holder cannot be reached, there are no trials.
class TrialClient final : public TrialSource {
public:
    TrialClient(FrontState& state, HttpClient& client, const LeaseHolder& leaseHolder);

    boost::asio::awaitable<bool> obtain(TrialRequest request, SteadyTime deadline) override;

    /// Grants a trial as the holder of the placement lease, if one is due.
    TrialReply grantAsHolder(const TrialRequest& request);

private:
    boost::asio::awaitable<Result<TrialReply>> askHolder(TrialRequest request, SteadyTime deadline);

    FrontState& m_state;
    HttpClient& m_client;
    const LeaseHolder& m_leaseHolder;
    TrialReservations m_reservations;
};

} // namespace bulrushstack
