#include "bulrushstack/teams/quota_accounts.h"

#include <algorithm>

namespace bulrushstack {

namespace {

/// Time after the report for which a credit may be spent. A report without a reply is thus repeated a few times before
/// the credit ends.
constexpr std::chrono::milliseconds creditLifetime { 1500 };
/// Longest time for which requests are denied without asking the issuer.
constexpr std::chrono::milliseconds maxDenial { 500 };
/// Time after its last request for which a team is named in reports.
constexpr std::chrono::seconds activityPeriod { 5 };
constexpr std::chrono::milliseconds minRetryAfter { 50 };

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

double QuotaAccounts::share(const std::string& team) const
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end())
        return 0;
    const auto silence = m_clock.bootNow() - it->second.shareAt;
    const bool isIssuerLost = m_hasIssuerEnded || silence > silenceBeforeDeputy(m_reportInterval);
    return isIssuerLost && silence < shareLifetime ? it->second.share : 0;
}

void QuotaAccounts::giveBack(const std::string& team, double units)
{
    auto& account = m_accounts[team];
    account.total -= units;
    account.usedAt = m_clock.bootNow();
}

CreditUse QuotaAccounts::creditUse() const
{
    const auto now = m_clock.bootNow();
    CreditUse out { .instance = m_instance, .process = m_process };
    for (const auto& [team, account] : m_accounts) {
        if (now - account.usedAt < activityPeriod)
            out.totals.push_back({ .team = team, .units = account.total });
    }
    return out;
}

void QuotaAccounts::applyCredits(const CreditUse& reported, const std::vector<TeamCredit>& credits, SteadyTime sentAt)
{
    m_hasIssuerEnded = false;
    if (m_lastReportAt)
        m_reportInterval = sentAt - *m_lastReportAt;
    m_lastReportAt = sentAt;
    for (const auto& it : credits) {
        const auto total = std::find_if(reported.totals.begin(), reported.totals.end(),
            [&](const TeamUnits& candidate) { return candidate.team == it.team; });
        if (total == reported.totals.end())
            continue;
        auto& account = m_accounts[it.team];
        account.credit = it.units - std::max(0.0, account.total - total->units);
        account.creditUntil = sentAt + creditLifetime;
        account.share = it.share;
        account.shareAt = sentAt;
    }
}

} // namespace bulrushstack
