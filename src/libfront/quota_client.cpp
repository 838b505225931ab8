#include "quota_client.h"

#include "bulrushstack/front/placement_messages.h"
#include <algorithm>
#include <glog/logging.h>
#include <xxhash.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds borrowTimeout { 150 };
/// Time for which an instance that did not respond is not asked again.
constexpr std::chrono::milliseconds avoidance { 1000 };
/// Instances that are asked as deputies before an instance is its own deputy.
constexpr std::size_t maxDeputies = 2;
const std::string holderId;
constexpr unsigned notHolderStatus = 503;

} // namespace

QuotaClient::QuotaClient(FrontState& state, HttpClient& client, const LeaseHolder& leaseHolder, const PeerSource& peers)
    : m_state(state)
    , m_client(client)
    , m_leaseHolder(leaseHolder)
    , m_peers(peers)
    , m_issuer(state.clock(), state.platformLimits().quotaRule)
    , m_deputy(state.clock(), state.platformLimits().quotaRule, QuotaIssuer::Role::Deputy)
    , m_accounts(state.clock(), state.instanceId(), state.random())
{
}

asio::awaitable<QuotaReply> QuotaClient::obtain(const TeamSpec& team, double units, SteadyTime deadline)
{
    const std::string name = team.name; // The configuration may change while the holder is asked.
    const auto result = m_accounts.spend(name, units);
    if (result.kind != SpendResult::Kind::MustBorrow)
        co_return QuotaReply { .isGranted = result.kind == SpendResult::Kind::Granted,
            .retryAfter = result.retryAfter };
    QuotaRequest request { .instance = m_state.instanceId(), .team = name, .units = units };
    auto reply = co_await askHolder(request, deadline);
    if (!reply) {
        request.share = m_accounts.share(name);
        reply = co_await askDeputy(request, deadline);
    }
    if (!reply->isGranted)
        m_accounts.recordDenial(name, reply->retryAfter);
    co_return *reply;
}

asio::awaitable<Result<QuotaReply>> QuotaClient::askHolder(QuotaRequest request, SteadyTime deadline)
{
    if (m_leaseHolder.isHolder())
        co_return borrowAsHolder(request);
    const auto holder = m_leaseHolder.reachableHolder();
    if (!holder || m_avoidedUntil[holderId] > m_state.clock().now())
        co_return unavailableFailure("the lease holder does not respond");
    auto reply = co_await call(*holder, std::move(request), deadline);
    if (!reply)
        m_avoidedUntil[holderId] = m_state.clock().now() + avoidance;
    if (!reply && reply.error().code == Errc::Refused)
        m_accounts.recordIssuerEnded();
    co_return reply;
}

/// Asks the deputies in turn, up to this instance in the order. If none before it responds, this instance is the
/// deputy.
asio::awaitable<QuotaReply> QuotaClient::askDeputy(QuotaRequest request, SteadyTime deadline)
{
    request.isForDeputy = true;
    for (const auto& it : deputies(request.team)) {
        if (it.instance == m_state.instanceId())
            break;
        auto reply = co_await call(it.address, request, deadline);
        if (reply)
            co_return *reply;
        m_avoidedUntil[it.instance] = m_state.clock().now() + avoidance;
    }
    co_return borrowAsDeputy(request, false);
}

asio::awaitable<Result<QuotaReply>> QuotaClient::call(Address address, QuotaRequest request, SteadyTime deadline)
{
    const std::string team = request.team;
    HttpRequest httpRequest { .method = "POST", .target = std::string(quotaPath), .body = encode(request) };
    const auto end = std::min(deadline, m_state.clock().now() + borrowTimeout);
    auto response = co_await m_client.call(address, std::move(httpRequest), { .deadline = end });
    auto failure = unavailableFailure("the instance does not keep accounts");
    // A process that no longer listens has ended, and with it all that it kept.
    const bool hasEnded
        = response ? response->status == notHolderStatus : response.error().code == std::errc::connection_refused;
    if (hasEnded)
        failure.code = Errc::Refused;
    Result<QuotaReply> out = std::move(failure);
    if (!response && !hasEnded)
        out = response.error();
    else if (response && response->status == 200)
        out = decodeQuotaReply(response->body);
    if (!out)
        LOG(INFO) << "event=quota-issuer-unavailable team=" << team << " address=" << address.toString()
                  << " deputy=" << request.isForDeputy << " error=\"" << out.error().detail << "\"";
    co_return out;
}

/// Returns the instances to ask in place of the holder, in an order that depends on the team only. This instance may be
/// one of them.
std::vector<Peer> QuotaClient::deputies(const std::string& team)
{
    auto out = m_peers.peers();
    const auto now = m_state.clock().now();
    std::erase_if(out, [&](const Peer& it) {
        const auto avoided = m_avoidedUntil.find(it.instance);
        return avoided != m_avoidedUntil.end() && avoided->second > now;
    });
    const auto rank = [&](const Peer& it) {
        const std::string key = team + "/" + it.instance;
        return XXH3_64bits(key.data(), key.size());
    };
    const auto n = std::min(maxDeputies, out.size());
    std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(n), out.end(),
        [&](const Peer& a, const Peer& b) { return rank(a) < rank(b); });
    out.resize(n);
    return out;
}

/// Returns the accounts under the configuration in force. They are empty at the beginning of each term as the holder.
QuotaIssuer& QuotaClient::currentIssuer()
{
    m_issuer.setRule(m_state.platformLimits().quotaRule);
    const auto& configuration = m_state.configuration();
    m_issuer.setTeams(configuration ? configuration->teams() : nullptr);
    if (m_issuerTerm != m_leaseHolder.term())
        m_issuer.beginTerm(m_state.instanceCount());
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

QuotaReply QuotaClient::borrowAsDeputy(const QuotaRequest& request, bool mayOverdraw)
{
    m_deputy.setRule(m_state.platformLimits().quotaRule);
    const auto& configuration = m_state.configuration();
    m_deputy.setTeams(configuration ? configuration->teams() : nullptr);
    return m_deputy.borrow(request, mayOverdraw);
}

std::vector<TeamCredit> QuotaClient::settleAsHolder(const CreditUse& use)
{
    auto& issuer = currentIssuer();
    issuer.recordCreditUse(use);
    std::vector<TeamCredit> out;
    out.reserve(use.totals.size());
    for (const auto& it : use.totals)
        out.push_back(issuer.creditOf(it.team, use.instance));
    return out;
}

std::optional<CreditUse> QuotaClient::creditUse() const
{
    const auto& configuration = m_state.configuration();
    return configuration && configuration->teams() ? std::optional(m_accounts.creditUse()) : std::nullopt;
}

void QuotaClient::applyCredits(
    const std::optional<CreditUse>& reported, const std::vector<TeamCredit>& credits, SteadyTime sentAt)
{
    if (reported)
        m_accounts.applyCredits(*reported, credits, sentAt);
}

} // namespace bulrushstack
