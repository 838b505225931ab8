#include "bulrushstack/teams/quota_issuer.h"

#include <algorithm>
#include <cmath>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

/// Share of the level that all instances together may spend without asking.
constexpr double creditShare = 0.25;
/// Part of the credits that is given evenly, to instances at which a team's callers have not been before.
constexpr double evenShare = 0.1;
/// Demand below this part of the total is forgotten.
constexpr double minDemandShare = 1e-4;
/// Largest small request, as a part of a second's quota.
constexpr double smallRequestShare = 0.02;
/// Part of the refill that small requests may use while the level does not suffice.
constexpr double smallRate = 0.5;
constexpr Seconds smallBurst { 0.25 };
/// Share of the slack that is kept for the request that overdraws an account.
constexpr double overdraftShare = 0.5;
constexpr double minRatePerSecond = 1e-6; // avoids a division by zero for a quota without a rate
constexpr std::chrono::milliseconds minRetryAfter { 50 };
/// Bounds the time for which a caller does not notice that a quota was raised.
constexpr std::chrono::milliseconds maxRetryAfter { 2000 };
/// Part of the shares that deputies grant. The rest allows for shares that a new issuer does not know of.
constexpr double deputyRate = 0.8;
/// Bound of a deputy's accounts, since other deputies may have been asked before.
constexpr Seconds deputyBurst { 0.5 };
/// Time for which the share of an instance counts at a deputy after its last request.
constexpr std::chrono::seconds contactLifetime { 1 };
/// Time after which demand counts for 1/e.
constexpr Seconds demandDecayTime { 4 };

} // namespace

std::chrono::nanoseconds silenceBeforeDeputy(std::chrono::nanoseconds reportInterval)
{
    static constexpr std::chrono::milliseconds minSilence { 600 };
    static constexpr int missedReports = 2;
    return std::max<std::chrono::nanoseconds>(minSilence, missedReports * reportInterval);
}

QuotaIssuer::QuotaIssuer(const Clock& clock, QuotaRule rule, Role role)
    : m_clock(clock)
    , m_rule(rule)
    , m_role(role)
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
        if (m_role == Role::Deputy)
            account.capacity = std::min(account.capacity, deputyBurst.count() * account.quota.ratePerSecond);
        account.level = std::min(account.level, account.capacity);
        charge(account, 0);
    }
}

void QuotaIssuer::beginTerm(std::size_t instances)
{
    m_expectedInstances = instances;
    m_termBeganAt = m_clock.now();
    m_instances.clear();
    for (auto& [team, account] : m_accounts) {
        account.level = 0;
        account.smallLevel = 0;
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
    const double refill = refillOf(account);
    account.level = std::min(account.capacity, account.level + refill);
    account.smallLevel
        = std::min(smallBurst.count() * account.quota.ratePerSecond, account.smallLevel + smallRate * refill);
    account.deniedUnits = std::max(0.0, account.deniedUnits - refill);
    const double decay = std::exp(-Seconds(now - account.refilledAt) / demandDecayTime);
    account.totalDemand = 0;
    for (auto& [instance, units] : account.demand) {
        units *= isSilent(instance) ? 1 : decay; // It may use the share that it was told.
        account.totalDemand += units;
    }
    account.refilledAt = now;
    return &account;
}

/// Returns the units by which the account has refilled since the last time.
double QuotaIssuer::refillOf(const Account& account) const
{
    const auto now = m_clock.now();
    const double rate = account.quota.ratePerSecond;
    if (m_role == Role::Issuer)
        return Seconds(now - account.refilledAt).count() * rate * (1 - std::min(1.0, silentShare(account)));
    double out = 0;
    for (const auto& [instance, contact] : account.contacts) {
        const auto end = std::min<SteadyTime>(now, contact.at + contactLifetime);
        out += std::max(0.0, Seconds(end - account.refilledAt).count()) * deputyRate * rate * contact.share;
    }
    return std::min(out, Seconds(now - account.refilledAt).count() * rate);
}

/// Returns the share of the silent instances.
double QuotaIssuer::silentShare(const Account& account) const
{
    double out = 0;
    if (m_clock.now() - m_termBeganAt < shareLifetime && m_expectedInstances > m_instances.size())
        out = static_cast<double>(m_expectedInstances - m_instances.size()) / static_cast<double>(m_expectedInstances);
    for (const auto& [instance, state] : m_instances)
        out += isSilent(instance) ? shareOf(account, instance) : 0;
    return out;
}

/// Returns the share of an instance in the quota.
double QuotaIssuer::shareOf(const Account& account, const std::string& instance) const
{
    const auto it = account.demand.find(instance);
    const double demandShare
        = it == account.demand.end() || account.totalDemand <= 0 ? 0 : it->second / account.totalDemand;
    const auto instances = static_cast<double>(std::max<std::size_t>(1, m_instances.size()));
    return evenShare / instances + (1 - evenShare) * std::min(1.0, demandShare);
}

/// Returns whether an instance may have begun to ask a deputy.
bool QuotaIssuer::isSilent(const std::string& instance) const
{
    const auto it = m_instances.find(instance);
    if (it == m_instances.end())
        return false;
    return m_clock.now() - it->second.lastContact > silenceBeforeDeputy(it->second.reportInterval);
}

/// Credit that was given before a quota was lowered may overdraw the account by a multiple of the new quota. The excess
/// is forgiven, since it would stop the team for longer than the window in which the lower quota has to be kept.
void QuotaIssuer::charge(Account& account, double units) const
{
    account.granted += units;
    const double maxDebt = 2 * creditShare * account.capacity + overdraftShare * m_rule.slack;
    account.level = std::clamp(account.level - units, -maxDebt, account.capacity);
}

QuotaReply QuotaIssuer::borrow(const QuotaRequest& request, bool mayOverdraw)
{
    auto* account = refill(request.team);
    if (!account)
        return { .isGranted = true };
    recordDemand(*account, request.instance, request.units);
    if (m_role == Role::Deputy)
        account->contacts[request.instance] = { .share = request.share, .at = m_clock.now() };
    const bool isSmall = request.units <= smallRequestShare * account->quota.ratePerSecond;
    const double needed = mayOverdraw ? 0 : request.units;
    if (account->level >= needed || (isSmall && account->smallLevel >= request.units)) {
        account->granted += request.units;
        if (account->level < needed)
            account->smallLevel -= request.units;
        else
            account->deniedUnits = 0;
        account->level -= request.units;
        return { .isGranted = true };
    }
    const double rate = std::max(minRatePerSecond, account->quota.ratePerSecond);
    const Seconds delay { (account->deniedUnits - account->level) / rate };
    account->deniedUnits += request.units;
    ++account->denials;
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(std::min<Seconds>(delay, maxRetryAfter));
    return { .retryAfter = std::max(minRetryAfter, retryAfter) };
}

void QuotaIssuer::recordCreditUse(const CreditUse& use)
{
    const auto now = m_clock.now();
    std::erase_if(m_instances, [&](const auto& it) { return now - it.second.lastContact > shareLifetime; });
    auto& reported = m_instances[use.instance];
    if (reported.process != use.process)
        reported = { .process = use.process };
    else
        reported.reportInterval = now - reported.lastContact;
    reported.lastContact = now;
    for (const auto& it : use.totals) {
        const auto [total, isFirst] = reported.totals.try_emplace(it.team, it.units);
        auto* account = refill(it.team);
        if (account && !isFirst) {
            charge(*account, it.units - total->second);
            recordDemand(*account, use.instance, std::max(0.0, it.units - total->second));
        }
        total->second = it.units;
    }
}

void QuotaIssuer::recordDemand(Account& account, const std::string& instance, double units)
{
    account.demand[instance] += units;
    account.totalDemand += units;
    std::erase_if(account.demand, [&](const auto& it) { return it.second < minDemandShare * account.totalDemand; });
}

TeamCredit QuotaIssuer::creditOf(const std::string& team, const std::string& instance)
{
    TeamCredit out { .team = team };
    const auto* account = refill(team);
    if (!account)
        return out;
    out.share = shareOf(*account, instance);
    out.units = creditShare * out.share * std::max(0.0, account->level);
    return out;
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
