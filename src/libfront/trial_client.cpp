#include "trial_client.h"

#include "holder_call.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds trialTimeout { 200 };

} // namespace

TrialClient::TrialClient(FrontState& state, HttpClient& client, const LeaseHolder& leaseHolder)
    : m_state(state)
    , m_client(client)
    , m_leaseHolder(leaseHolder)
    , m_reservations(state.clock())
{
}

TrialReply TrialClient::grantAsHolder(const TrialRequest& request)
{
    const bool isDue = m_state.crashSuspects().isTrialDue(request.suspects);
    return { .isGranted = isDue && m_reservations.reserve(request.suspects) };
}

asio::awaitable<bool> TrialClient::obtain(TrialRequest request, SteadyTime deadline)
{
    deadline = std::min(deadline, m_state.clock().now() + trialTimeout);
    const auto reply = co_await askHolder(std::move(request), deadline);
    if (!reply)
        LOG(INFO) << "event=quarantine-trial-unavailable error=\"" << reply.error().detail << "\"";
    co_return reply && reply->isGranted;
}

asio::awaitable<Result<TrialReply>> TrialClient::askHolder(TrialRequest request, SteadyTime deadline)
{
    if (m_leaseHolder.isHolder())
        co_return grantAsHolder(request);
    const auto response = co_await callHolder(m_client, m_leaseHolder, trialPath, encode(request), deadline);
    if (!response)
        co_return response.error();
    co_return decodeTrialReply(*response);
}

} // namespace bulrushstack
