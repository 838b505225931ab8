#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/teams/team_directory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushstack {

/// How far the platform lets the instances together exceed a quota: in each window, the units of a team's requests that
/// run are at most (rate x window + burst) x (1 + tolerance) + slack.
struct QuotaRule {
    std::chrono::nanoseconds window = std::chrono::seconds(8);
    double tolerance = 0.1;
    double slack = 0; ///< in units

    friend bool operator==(const QuotaRule&, const QuotaRule&) = default;
};

/// Asks for the units of one request.
struct QuotaRequest {
    std::string instance;
    std::string team;
    double units = 0;
    double share = 0; ///< The instance's part of the team's quota, 0 to 1, as the issuer last told it.
    /// Whether the receiver is asked as a deputy, since the sender cannot reach the issuer.
    bool isForDeputy = false;

    friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

struct QuotaReply {
    bool isGranted = false;
    /// Time after which the team can expect units again, if none were granted.
    std::chrono::milliseconds retryAfter {};

    friend bool operator==(const QuotaReply&, const QuotaReply&) = default;
};

/// Units of one team.
struct TeamUnits {
    std::string team;
    double units = 0;

    friend bool operator==(const TeamUnits&, const TeamUnits&) = default;
};

/// What an instance may spend of a team's quota without asking.
struct TeamCredit {
    std::string team;
    double units = 0; ///< until its next report
    /// The instance's part of the team's quota, 0 to 1: mostly by its recent demand, a small part evenly.
    double share = 0;

    friend bool operator==(const TeamCredit&, const TeamCredit&) = default;
};

/// Units that one process has spent on credit, less those given back, since its start. Totals instead of differences,
/// so that a report that is lost, late or repeated does no harm.
struct CreditUse {
    std::string instance;
    std::uint64_t process = 0; ///< Random number that differs between two processes of the instance.
    std::vector<TeamUnits> totals;

    friend bool operator==(const CreditUse&, const CreditUse&) = default;
};

/// State of a team's account, for operators.
struct QuotaStatus {
    std::string team;
    double level = 0; ///< units that are available; negative if the team has overdrawn its account
    double capacity = 0;
    double granted = 0; ///< units granted or spent on credit since this instance keeps the account
    std::uint64_t denials = 0;

    friend bool operator==(const QuotaStatus&, const QuotaStatus&) = default;
};

/// Time for which the issuer holds back the share of a silent instance, and for which the instance may use it at a
/// deputy.
inline constexpr std::chrono::seconds shareLifetime { 20 };

/// Returns the time without contact to the issuer after which an instance may use its share at a deputy, and from which
/// on the issuer holds the share back. `reportInterval` is the time between the instance's reports.
std::chrono::nanoseconds silenceBeforeDeputy(std::chrono::nanoseconds reportInterval);

/// Keeps the accounts of all teams with a quota, on the one instance that does so for all others. Performs no I/O.
///
/// Callers of one team reach all instances, unevenly, and one request may weigh more than
/// an instance's even share of a whole window. Each account is a token bucket. An instance borrows the units of a
/// request from it, and gets a credit that it may spend without asking while the account is well filled.
///
/// A request is granted unless the level is below zero, whatever it weighs, so that small requests cannot starve a
/// large one. A small request is granted below zero as well, up to a part of the quota, so that one large request does
/// not have many small ones rejected.
///
/// An instance that cannot reach the issuer asks a deputy, which is another instance or itself. The accounts of a
/// deputy refill only by the shares of the instances that ask it, and the issuer holds back the shares of silent
/// instances, so that all of them together keep to the quota also while some are cut off from others. An account starts
/// empty, so that a new issuer does not grant again what its predecessor has granted.
class QuotaIssuer {
public:
    enum class Role {
        Issuer,
        Deputy,
    };

    QuotaIssuer(const Clock& clock, QuotaRule rule, Role role = Role::Issuer);

    void setRule(const QuotaRule& rule);

    /// Applies the quotas of a configuration. Null means that there are none.
    void setTeams(const TeamDirectoryPtr& teams);

    /// Sets the levels of all accounts to zero and forgets all reports, at the beginning of a term as the issuer. The
    /// recent demand is kept. `instances` is the number of instances, as far as
    /// it is known. Those that have not reported yet may be cut off, with shares of the previous issuer.
    void beginTerm(std::size_t instances);

    /// Grants or denies the units of one request. A team without a quota is always granted. `mayOverdraw` is false for
    /// an instance that is its own deputy: there may be many such instances, so that each grants no more than it has.
    QuotaReply borrow(const QuotaRequest& request, bool mayOverdraw = true);

    /// Charges what a process spent on credit since its last report. The first total of a team in a term only sets the
    /// base, since an earlier issuer has charged for it.
    void recordCreditUse(const CreditUse& use);

    /// Returns the credit of an instance that has reported. Callers of a team come to few instances, so that each gets
    /// its share of the recent demand rather than an even one.
    TeamCredit creditOf(const std::string& team, const std::string& instance);

    std::vector<QuotaStatus> status();

    /// Units that an account holds at most, so that the rule is kept if all credits are spent at once.
    static double capacityOf(const QuotaSpec& quota, const QuotaRule& rule);

private:
    struct Contact {
        double share = 0;
        SteadyTime at {};
    };

    struct Account {
        QuotaSpec quota;
        double capacity = 0;
        double level = 0;
        double smallLevel = 0; ///< units that small requests may use while the level does not suffice
        SteadyTime refilledAt {};
        std::map<std::string, double> demand; ///< recent units asked for, by instance
        std::map<std::string, Contact> contacts; ///< instances that asked this deputy
        double totalDemand = 0;
        /// Units denied that refills have not covered yet; reset when a request is granted from the level. Later
        /// callers are told to come after those before them.
        double deniedUnits = 0;
        double granted = 0;
        std::uint64_t denials = 0;
    };

    struct Instance {
        std::uint64_t process = 0;
        std::map<std::string, double> totals; ///< reported by the process, by team
        SteadyTime lastContact {};
        std::chrono::nanoseconds reportInterval {};
    };

    Account* refill(const std::string& team);
    double refillOf(const Account& account) const;
    double silentShare(const Account& account) const;
    double shareOf(const Account& account, const std::string& instance) const;
    bool isSilent(const std::string& instance) const;
    static void recordDemand(Account& account, const std::string& instance, double units);
    void charge(Account& account, double units) const;

    const Clock& m_clock;
    QuotaRule m_rule;
    Role m_role;
    TeamDirectoryPtr m_teams;
    std::map<std::string, Account> m_accounts; ///< by team
    std::map<std::string, Instance> m_instances;
    std::size_t m_expectedInstances = 0;
    SteadyTime m_termBeganAt {};
};

} // namespace bulrushstack
