#include "quota_client.h"

#include "bulrushstack/front/placement_messages.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds borrowTimeout { 150 };

} // namespace

QuotaClient::QuotaClient(FrontState& state, HttpClient& client, const LeaseHolder& leaseHolder)
    : m_state(state)
    , m_client(client)
    , m_leaseHolder(leaseHolder)
    , m_issuer(state.clock(), state.platformLimits().quotaRule)
    , m_accounts(state.clock(), state.instanceId(), state.random())
{
}

asio::awaitable<QuotaReply> QuotaClient::obtain(const TeamSpec& team, double units, SteadyTime deadline)
{
    const TeamSpec spec = team; // The configuration may change while the holder is asked.
    const auto result = m_accounts.spend(spec.name, units);
    if (result.kind != SpendResult::Kind::MustBorrow)
        co_return QuotaReply { .isGranted = result.kind == SpendResult::Kind::Granted,
            .retryAfter = result.retryAfter };
    QuotaRequest request { .instance = m_state.instanceId(), .team = spec.name, .units = units };
    const auto reply
        = co_await askHolder(std::move(request), std::min(deadline, m_state.clock().now() + borrowTimeout));
    m_accounts.recordIssuer(reply.has_value());
    if (!reply) {
        LOG(INFO) << "event=quota-holder-unavailable team=" << spec.name << " units=" << units << " error=\""
                  << reply.error().detail << "\"";
        co_return spendShare(spec, units);
    }
    if (!reply->isGranted)
        m_accounts.recordDenial(spec.name, reply->retryAfter);
    co_return *reply;
}

asio::awaitable<Result<QuotaReply>> QuotaClient::askHolder(QuotaRequest request, SteadyTime deadline)
{
    if (m_leaseHolder.isHolder())
        co_return borrowAsHolder(request);
    const auto holder = m_leaseHolder.reachableHolder();
    if (!holder)
        co_return unavailableFailure("the lease holder does not respond");
    HttpRequest httpRequest { .method = "POST", .target = std::string(quotaPath), .body = encode(request) };
    auto response = co_await m_client.call(*holder, std::move(httpRequest), { .deadline = deadline });
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return unavailableFailure("the lease holder responded with status " + std::to_string(response->status));
    co_return decodeQuotaReply(response->body);
}

QuotaReply QuotaClient::spendShare(const TeamSpec& team, double units)
{
    const auto result = m_accounts.spendShare(team, units, m_state.platformLimits().quotaRule);
    return { .isGranted = result.kind == SpendResult::Kind::Granted, .retryAfter = result.retryAfter };
}

/// Returns the accounts under the configuration in force. They are empty at the beginning of each term as the holder.
QuotaIssuer& QuotaClient::currentIssuer()
{
    m_issuer.setRule(m_state.platformLimits().quotaRule);
    const auto& configuration = m_state.configuration();
    m_issuer.setTeams(configuration ? configuration->teams() : nullptr);
    if (m_issuerTerm != m_leaseHolder.term())
        m_issuer.beginTerm();
    m_issuerTerm = m_leaseHolder.term();
    return m_issuer;
}

QuotaReply QuotaClient::borrowAsHolder(const QuotaRequest& request)
{
    const auto reply = currentIssuer().borrow(request);
    if (!reply.isGranted)
        LOG(INFO) << "event=quota-denied team=" << request.team << " instance=" << request.instance
                  << " units=" << request.units << " retry_after_ms=" << reply.retryAfter.count();
    return reply;
}

std::vector<TeamCredit> QuotaClient::settleAsHolder(const CreditUse& use, unsigned instances)
{
    auto& issuer = currentIssuer();
    issuer.recordCreditUse(use);
    std::vector<TeamCredit> out;
    out.reserve(use.totals.size());
    for (const auto& it : use.totals)
        out.push_back(issuer.creditOf(it.team, use.instance, instances));
    return out;
}

void QuotaClient::applyCredits(
    const std::optional<CreditUse>& reported, const std::vector<TeamCredit>& credits, SteadyTime sentAt)
{
    if (reported)
        m_accounts.applyCredits(*reported, credits, sentAt);
}

} // namespace bulrushstack
