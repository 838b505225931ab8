#include "bulrushstack/teams/quota_issuer.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

/// Share of the level that all instances together may spend without asking.
constexpr double creditShare = 0.25;
/// Share of the slack that is kept for the request that overdraws an account.
constexpr double overdraftShare = 0.5;
constexpr double minRefillPerSecond = 1e-6;
constexpr std::chrono::milliseconds minRetryAfter { 50 };
/// Bounds the time for which a caller does not notice that a quota was raised.
constexpr std::chrono::milliseconds maxRetryAfter { 2000 };
/// Time without a report after which the totals of an instance are forgotten.
constexpr std::chrono::minutes reportLifetime { 1 };

} // namespace

QuotaIssuer::QuotaIssuer(const Clock& clock, QuotaRule rule)
    : m_clock(clock)
    , m_rule(rule)
{
}

double QuotaIssuer::capacityOf(const QuotaSpec& quota, const QuotaRule& rule)
{
    const double inWindow = quota.ratePerSecond * Seconds(rule.window).count() + quota.burst;
    return (quota.burst + rule.tolerance * inWindow + (1 - overdraftShare) * rule.slack) / (1 + creditShare);
}

void QuotaIssuer::setRule(const QuotaRule& rule)
{
    if (rule == m_rule)
        return;
    m_rule = rule;
    for (auto& [team, account] : m_accounts)
        account.capacity = capacityOf(account.quota, rule);
}

void QuotaIssuer::setTeams(const TeamDirectoryPtr& teams)
{
    if (teams == m_teams)
        return;
    m_teams = teams;
    std::erase_if(m_accounts, [&](const auto& it) {
        const auto* team = teams ? teams->find(it.first) : nullptr;
        return !team || !team->quota;
    });
    if (!teams)
        return;
    for (const auto& team : teams->teams()) {
        if (!team.quota)
            continue;
        const auto [it, isNew] = m_accounts.try_emplace(team.name);
        if (isNew)
            it->second.refilledAt = m_clock.now();
        auto& account = *refill(team.name);
        account.quota = *team.quota;
        account.capacity = capacityOf(account.quota, m_rule);
        account.level = std::min(account.level, account.capacity);
        charge(account, 0);
    }
}

void QuotaIssuer::beginTerm()
{
    m_reported.clear();
    for (auto& [team, account] : m_accounts) {
        account.level = 0;
        account.refilledAt = m_clock.now();
        account.deniedUnits = 0;
    }
}

QuotaIssuer::Account* QuotaIssuer::refill(const std::string& team)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end())
        return nullptr;
    auto& account = it->second;
    const auto now = m_clock.now();
    const double refill = Seconds(now - account.refilledAt).count() * account.quota.ratePerSecond;
    account.level = std::min(account.capacity, account.level + refill);
    account.deniedUnits = std::max(0.0, account.deniedUnits - refill);
    account.refilledAt = now;
    return &account;
}

/// Credit that was given before a quota was lowered may overdraw the account by a multiple of the new quota. The excess
/// is forgiven, since it would stop the team for longer than the window in which the lower quota has to be kept.
void QuotaIssuer::charge(Account& account, double units) const
{
    account.granted += units;
    const double maxDebt = 2 * creditShare * account.capacity + overdraftShare * m_rule.slack;
    account.level = std::clamp(account.level - units, -maxDebt, account.capacity);
}

QuotaReply QuotaIssuer::borrow(const QuotaRequest& request)
{
    auto* account = refill(request.team);
    if (!account)
        return { .isGranted = true };
    if (account->level > 0) {
        account->granted += request.units;
        account->level -= request.units;
        account->deniedUnits = 0;
        return { .isGranted = true };
    }
    const double rate = std::max(minRefillPerSecond, account->quota.ratePerSecond);
    const Seconds delay { (account->deniedUnits - account->level) / rate };
    account->deniedUnits += request.units;
    ++account->denials;
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(std::min<Seconds>(delay, maxRetryAfter));
    return { .retryAfter = std::max(minRetryAfter, retryAfter) };
}

void QuotaIssuer::recordCreditUse(const CreditUse& use)
{
    const auto now = m_clock.now();
    std::erase_if(m_reported, [&](const auto& it) { return now - it.second.reportedAt > reportLifetime; });
    auto& reported = m_reported[use.instance];
    if (reported.process != use.process)
        reported = { .process = use.process };
    reported.reportedAt = now;
    for (const auto& it : use.totals) {
        const auto [total, isFirst] = reported.totals.try_emplace(it.team, it.units);
        auto* account = refill(it.team);
        if (account && !isFirst)
            charge(*account, it.units - total->second);
        total->second = it.units;
    }
}

double QuotaIssuer::creditPerInstance(const std::string& team, unsigned instances)
{
    const auto* account = refill(team);
    if (!account || account->level <= 0 || instances == 0)
        return 0;
    return creditShare * account->level / instances;
}

std::vector<QuotaStatus> QuotaIssuer::status()
{
    std::vector<QuotaStatus> out;
    for (auto& [team, account] : m_accounts) {
        refill(team);
        out.push_back({ .team = team,
            .level = account.level,
            .capacity = account.capacity,
            .granted = account.granted,
            .denials = account.denials });
    }
    return out;
}

} // namespace bulrushstack
