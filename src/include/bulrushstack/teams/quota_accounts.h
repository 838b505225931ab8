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

/// What one instance knows of the quotas of teams: the credits and the share that the issuer gave it, and recent
/// denials. Performs no I/O.
class QuotaAccounts {
public:
    /// `process` is a random number that differs between two processes of the instance.
    QuotaAccounts(const Clock& clock, std::string instance, std::uint64_t process);

    /// Spends the units of one request on the credit of its team.
    SpendResult spend(const std::string& team, double units);

    /// Records that the issuer denied units. Until the team can expect some, requests above the credit are denied
    /// without asking.
    void recordDenial(const std::string& team, std::chrono::milliseconds retryAfter);

    /// Records that the issuer itself said that it is none any more. The shares can then be used at once.
    void recordIssuerEnded() { m_hasIssuerEnded = true; }

    /// Returns the share of the quota that this instance may use at a deputy, as the issuer last told it; 0 if it heard
    /// of the issuer only just now, or too long ago.
    double share(const std::string& team) const;

    /// Gives the units of a request that certainly did not run back to its team.
    void giveBack(const std::string& team, double units);

    /// Returns what was spent on credit, for the issuer. It names the teams that were active lately.
    CreditUse creditUse() const;

    /// Replaces the credits by those that the issuer gave in reply to the given report, which was sent at `sentAt`, a
    /// reading of Clock::bootNow(). What was spent since the report is subtracted.
    void applyCredits(const CreditUse& reported, const std::vector<TeamCredit>& credits, SteadyTime sentAt);

private:
    struct Account {
        double credit = 0;
        /// Reading of Clock::bootNow(), since a process that was suspended must not spend an old credit.
        SteadyTime creditUntil {};
        double total = 0; ///< units spent on credit less all units given back; may be negative
        SteadyTime usedAt {};
        std::optional<SteadyTime> deniedUntil;
        double share = 0; ///< this instance's part of the team's quota, 0 to 1
        SteadyTime shareAt {}; ///< Reading of Clock::bootNow() at the last report that was replied to.
    };

    const Clock& m_clock;
    std::string m_instance;
    std::uint64_t m_process;
    std::map<std::string, Account> m_accounts; ///< by team
    bool m_hasIssuerEnded = false;
    /// Reading of Clock::bootNow() at the last report that was replied to, and the time since the one before.
    std::optional<SteadyTime> m_lastReportAt;
    std::chrono::nanoseconds m_reportInterval {};
};

} // namespace bulrushstack
