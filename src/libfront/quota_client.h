#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/teams/quota_accounts.h"
#include "front_state.h"
#include "lease_holder.h"
#include "request_dependencies.h"

#include <string_view>

namespace bulrushstack {

/// Path of the request for the units of one request that one instance sends to another one.
inline constexpr std::string_view quotaPath = "/v1/quota/borrow";

/// Obtains units of the quotas of teams. The holder of the placement lease keeps the accounts, so that all instances
/// together keep to the quotas, however many there are. While the holder cannot be reached, an instance asks a deputy:
/// the first instance that responds in an order that depends on the team only, or itself.
class QuotaClient final : public QuotaSource {
public:
    QuotaClient(FrontState& state, HttpClient& client, const LeaseHolder& leaseHolder, const PeerSource& peers);

    boost::asio::awaitable<QuotaReply> obtain(const TeamSpec& team, double units, SteadyTime deadline) override;
    void giveBack(const std::string& team, double units) override { m_accounts.giveBack(team, units); }

    /// Returns what this instance spent on credit, for the next report to the holder; empty if there are no teams.
    std::optional<CreditUse> creditUse() const;

    /// Applies the holder's reply to a report that was sent at `sentAt`, a reading of Clock::bootNow().
    void applyCredits(
        const std::optional<CreditUse>& reported, const std::vector<TeamCredit>& credits, SteadyTime sentAt);

    /// Records that the former holder said that it does not hold the lease any more.
    void recordHolderEnded() { m_accounts.recordIssuerEnded(); }

    /// Keeps the accounts up to date while this instance is the holder, so that they fill before the first request.
    void refreshAsHolder() { currentIssuer(); }

    /// Grants or denies units as the holder of the placement lease.
    QuotaReply borrowAsHolder(const QuotaRequest& request);

    /// Grants or denies units as a deputy, as QuotaIssuer::borrow() does.
    QuotaReply borrowAsDeputy(const QuotaRequest& request, bool mayOverdraw);

    /// Charges what an instance spent on credit, as the holder, and returns its new credits.
    std::vector<TeamCredit> settleAsHolder(const CreditUse& use);

private:
    boost::asio::awaitable<Result<QuotaReply>> askHolder(QuotaRequest request, SteadyTime deadline);
    boost::asio::awaitable<QuotaReply> askDeputy(QuotaRequest request, SteadyTime deadline);
    boost::asio::awaitable<Result<QuotaReply>> call(Address address, QuotaRequest request, SteadyTime deadline);
    std::vector<Peer> deputies(const std::string& team);
    QuotaIssuer& currentIssuer();

    FrontState& m_state;
    HttpClient& m_client;
    const LeaseHolder& m_leaseHolder;
    const PeerSource& m_peers;
    QuotaIssuer m_issuer;
    std::uint64_t m_issuerTerm = 0; ///< Term of the lease at whose beginning the accounts were last emptied.
    QuotaIssuer m_deputy;
    QuotaAccounts m_accounts;
    /// End of the time in which an instance is not asked since it did not respond, by its id; the holder's has an empty
    /// id.
    std::map<std::string, SteadyTime> m_avoidedUntil;
};

} // namespace bulrushstack
