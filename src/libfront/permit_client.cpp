#include "permit_client.h"

#include "holder_call.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Time in which a permit must be used, from the moment at which it was asked for. A process that was suspended in
/// between drops the permit.
constexpr std::chrono::milliseconds permitLifetime { 400 };
constexpr std::chrono::milliseconds permitTimeout { 200 };
constexpr std::chrono::milliseconds retryAfterHolderLost { 300 };
/// Instances beyond the limit's requests per second that may issue their share themselves. In the worst case each of
/// them sends a first request at the same time, which upstreams with a rate limit tolerate only up to a few requests.
constexpr double ownShareInstances = 4;

} // namespace

PermitClient::PermitClient(FrontState& state, HttpClient& client, const LeaseHolder& leaseHolder)
    : m_state(state)
    , m_client(client)
    , m_leaseHolder(leaseHolder)
    , m_issuer(state.clock())
    , m_ownShareIssuer(state.clock())
{
}

PermitReply PermitClient::issueAsHolder(const PermitRequest& request) { return m_issuer.issue(request); }

bool PermitClient::isExhausted(const UpstreamEntry& upstream) const
{
    return m_issuer.isExhausted(upstream.id, upstream.startedAt);
}

asio::awaitable<std::optional<Permit>> PermitClient::obtain(
    std::string upstream, std::uint64_t startedAt, SteadyTime deadline)
{
    const auto limit = m_state.directory().rateLimit(upstream);
    if (!limit)
        co_return Permit();
    const PermitRequest request { .upstream = upstream,
        .startedAt = startedAt,
        .requestsPerSecond = limit->requestsPerSecond,
        .age = millisecondsOf(m_state.clock().now() - limit->statedAt) };
    const auto askedAt = m_state.clock().bootNow();
    auto reply = co_await askHolder(request, std::min(deadline, m_state.clock().now() + permitTimeout));
    if (!reply) {
        LOG(INFO) << "event=permit-unavailable upstream=" << upstream << " error=\"" << reply.error().detail << "\"";
        reply = issueOwnShare(request);
    }
    const Permit permit { .sendBy = askedAt + permitLifetime };
    if (reply->isGranted && m_state.clock().bootNow() < *permit.sendBy)
        co_return permit;
    const auto retryAfter = reply->isGranted ? retryAfterHolderLost : reply->retryAfter;
    m_state.directory().recordNoPermit(upstream, startedAt, retryAfter);
    co_return std::nullopt;
}

asio::awaitable<Result<PermitReply>> PermitClient::askHolder(PermitRequest request, SteadyTime deadline)
{
    if (m_leaseHolder.isHolder())
        co_return issueAsHolder(request);
    const auto response = co_await callHolder(m_client, m_leaseHolder, permitPath, encode(request), deadline);
    if (!response)
        co_return response.error();
    co_return decodePermitReply(*response);
}

PermitReply PermitClient::issueOwnShare(PermitRequest request)
{
    const unsigned instances = m_state.instanceCount();
    if (instances == 0 || instances > request.requestsPerSecond + ownShareInstances)
        return { .retryAfter = retryAfterHolderLost };
    request.requestsPerSecond /= instances;
    return m_ownShareIssuer.issue(request);
}

} // namespace bulrushstack
