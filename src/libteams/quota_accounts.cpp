#include "bulrushstack/teams/quota_accounts.h"

#include <algorithm>
#include <cmath>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time after the report for which a credit may be spent. A report without a reply is thus repeated a few times before
/// the credit ends.
constexpr std::chrono::milliseconds creditLifetime { 1500 };
/// Longest time for which requests are denied without asking the issuer.
constexpr std::chrono::milliseconds maxDenial { 500 };
/// Time after its last request for which a team is named in reports.
constexpr std::chrono::seconds activityPeriod { 3 };
/// Part of the platform's slack that the instances may use at once, each by its share, when the issuer is lost.
constexpr double initialSlackShare = 0.25;
constexpr std::chrono::milliseconds minRetryAfter { 50 };
constexpr std::chrono::milliseconds retryAfterIssuerLost { 700 };

} // namespace

QuotaAccounts::QuotaAccounts(const Clock& clock, std::string instance, std::uint64_t process)
    : m_clock(clock)
    , m_instance(std::move(instance))
    , m_process(process)
{
}

SpendResult QuotaAccounts::spend(const std::string& team, double units)
{
    auto& account = m_accounts[team];
    const auto now = m_clock.bootNow();
    account.usedAt = now;
    if (now < account.creditUntil && account.credit >= units) {
        account.credit -= units;
        account.total += units;
        return { .kind = SpendResult::Kind::Granted };
    }
    if (account.deniedUntil && now < *account.deniedUntil) {
        const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*account.deniedUntil - now);
        return { .kind = SpendResult::Kind::Denied, .retryAfter = std::max(minRetryAfter, retryAfter) };
    }
    return { .kind = SpendResult::Kind::MustBorrow };
}

void QuotaAccounts::recordDenial(const std::string& team, std::chrono::milliseconds retryAfter)
{
    m_accounts[team].deniedUntil = m_clock.bootNow() + std::min(retryAfter, maxDenial);
}

void QuotaAccounts::recordIssuer(bool isReachable)
{
    if (isReachable)
        m_issuerLostAt.reset();
    else if (!m_issuerLostAt)
        m_issuerLostAt = m_clock.bootNow();
}

SpendResult QuotaAccounts::spendShare(const TeamSpec& team, double units, const QuotaRule& rule)
{
    if (!team.quota)
        return { .kind = SpendResult::Kind::Granted };
    auto& account = m_accounts[team.name];
    recordIssuer(false);
    if (account.shareRefilledAt < *m_issuerLostAt) {
        const bool isFirstInWindow = account.shareRefilledAt + rule.window < *m_issuerLostAt;
        account.shareLevel = isFirstInWindow ? initialSlackShare * rule.slack * account.share : 0;
        account.shareRefilledAt = *m_issuerLostAt;
    }
    const auto now = m_clock.bootNow();
    const double decay = std::exp(-Seconds(now - *m_issuerLostAt) / shareDecayTime);
    const double sharePerSecond = shareWithoutIssuer * team.quota->ratePerSecond * account.share * decay;
    account.shareLevel += Seconds(now - account.shareRefilledAt).count() * sharePerSecond;
    account.shareLevel = std::min(account.shareLevel, QuotaIssuer::capacityOf(*team.quota, rule) * account.share);
    account.shareRefilledAt = now;
    if (account.shareLevel < units)
        return { .kind = SpendResult::Kind::Denied, .retryAfter = retryAfterIssuerLost };
    account.shareLevel -= units;
    return { .kind = SpendResult::Kind::Granted };
}

void QuotaAccounts::giveBack(const std::string& team, double units)
{
    auto& account = m_accounts[team];
    account.total -= units;
    account.usedAt = m_clock.bootNow();
}

std::optional<CreditUse> QuotaAccounts::creditUse() const
{
    const auto now = m_clock.bootNow();
    CreditUse out { .instance = m_instance, .process = m_process };
    for (const auto& [team, account] : m_accounts) {
        if (now - account.usedAt < activityPeriod)
            out.totals.push_back({ .team = team, .units = account.total });
    }
    return out.totals.empty() ? std::nullopt : std::optional(std::move(out));
}

void QuotaAccounts::applyCredits(const CreditUse& reported, const std::vector<TeamCredit>& credits, SteadyTime sentAt)
{
    for (const auto& it : credits) {
        const auto total = std::find_if(reported.totals.begin(), reported.totals.end(),
            [&](const TeamUnits& candidate) { return candidate.team == it.team; });
        if (total == reported.totals.end())
            continue;
        auto& account = m_accounts[it.team];
        account.credit = it.units - std::max(0.0, account.total - total->units);
        account.creditUntil = sentAt + creditLifetime;
        account.share = it.share;
    }
}

} // namespace bulrushstack
