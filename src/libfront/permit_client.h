#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/serving/permit_issuer.h"
#include "front_state.h"
#include "lease_holder.h"
#include "request_dependencies.h"

#include <string_view>

namespace bulrushstack {

/// Path of the request for a permit that one instance sends to another one.
inline constexpr std::string_view permitPath = "/v1/placement/permit";

/// Obtains permits for requests to upstreams that state a rate limit. The holder of the placement lease issues them, so
/// that all instances together keep to the limit, however many there are.
///
/// While the holder cannot be reached, an instance issues its share of the permits itself, unless there are so many
/// instances that their first requests alone could exceed the limit.
class PermitClient final : public PermitSource {
public:
    PermitClient(FrontState& state, HttpClient& client, const LeaseHolder& leaseHolder);

    boost::asio::awaitable<std::optional<Permit>> obtain(
        std::string upstream, std::uint64_t startedAt, SteadyTime deadline) override;

    /// Issues a permit as the holder of the placement lease.
    PermitReply issueAsHolder(const PermitRequest& request);

    /// Returns whether more requests are meant for an upstream than its rate limit allows, as far as this instance
    /// knows as the holder of the lease.
    bool isExhausted(const UpstreamEntry& upstream) const;

private:
    boost::asio::awaitable<Result<PermitReply>> askHolder(PermitRequest request, SteadyTime deadline);
    PermitReply issueOwnShare(PermitRequest request);

    FrontState& m_state;
    HttpClient& m_client;
    const LeaseHolder& m_leaseHolder;
    PermitIssuer m_issuer;
    /// Issues this instance's share while the holder cannot be reached.
    PermitIssuer m_ownShareIssuer;
};

} // namespace bulrushstack
