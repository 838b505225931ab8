#pragma once

#include "bulrushstack/teams/quota_issuer.h"

#include <optional>

namespace bulrushstack {

/// Outcome of an attempt to spend units.
struct SpendResult {
    enum class Kind {
        Granted,
        Denied,
        MustBorrow, ///< The issuer must be asked.
    };

    Kind kind = Kind::Granted;
    std::chrono::milliseconds retryAfter {}; ///< Time after which the team can expect units again, if denied.

    friend bool operator==(const SpendResult&, const SpendResult&) = default;
};

/// Part of its share of a quota that an instance spends while it cannot reach the issuer.
inline constexpr double shareWithoutIssuer = 0.5;

/// Time after which the share of an instance without contact to the issuer counts for 1/e.
inline constexpr std::chrono::duration<double> shareDecayTime { 4 };

/// What one instance knows of the quotas of teams: the credits that the issuer gave it, recent denials, and the even
/// share on which it falls back while no issuer can be reached. Performs no I/O.
class QuotaAccounts {
public:
    /// `process` is a random number that differs between two processes of the instance.
    QuotaAccounts(const Clock& clock, std::string instance, std::uint64_t process);

    /// Spends the units of one request on the credit of its team.
    SpendResult spend(const std::string& team, double units);

    /// Records that the issuer denied units. Until the team can expect some, requests above the credit are denied
    /// without asking.
    void recordDenial(const std::string& team, std::chrono::milliseconds retryAfter);

    /// Records whether the issuer responds. The shares of this instance accumulate from the moment at which it is lost.
    void recordIssuer(bool isReachable);

    /// Spends the units of one request on this instance's share of a quota, while the issuer cannot be reached.
    SpendResult spendShare(const TeamSpec& team, double units, const QuotaRule& rule);

    /// Returns the units of a request that certainly did not run.
    void giveBack(const std::string& team, double units);

    /// Returns what was spent on credit, for the issuer; empty if no team with a quota was active lately.
    std::optional<CreditUse> creditUse() const;

    /// Replaces the credits by those that the issuer gave in reply to the given report, which was sent at `sentAt`, a
    /// reading of Clock::bootNow(). What was spent since the report is subtracted.
    void applyCredits(const CreditUse& reported, const std::vector<TeamCredit>& credits, SteadyTime sentAt);

private:
    struct Account {
        double credit = 0;
        /// Reading of Clock::bootNow(), since a process that was suspended must not spend an old credit.
        SteadyTime creditUntil {};
        double total = 0; ///< spent on credit since the start of the process
        SteadyTime usedAt {};
        std::optional<SteadyTime> deniedUntil;
        double share = 0; ///< this instance's share of the team's demand, 0 to 1
        /// Bucket with this share of the quota.
        double shareLevel = 0;
        SteadyTime shareRefilledAt {};
    };

    const Clock& m_clock;
    std::string m_instance;
    std::uint64_t m_process;
    std::optional<SteadyTime> m_issuerLostAt; ///< Reading of Clock::bootNow().
    std::map<std::string, Account> m_accounts; ///< by team
};

} // namespace bulrushstack
