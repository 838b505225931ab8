#include "bulrushstack/teams/quota_accounts.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

namespace bulrushstack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QuotaRule rule { .window = seconds(8), .tolerance = 0.1, .slack = 72'000 };

TeamSpec teamWith(double rate)
{
    return { .name = "zagreb",
        .keys = { "z" },
        .quota = QuotaSpec { .unit = QuotaUnit::Tokens, .ratePerSecond = rate, .burst = rate } };
}

TeamDirectoryPtr directoryOf(TeamSpec team) { return *TeamDirectory::create({ std::move(team) }); }

struct IssuerFixture {
    ManualClock clock;
    QuotaIssuer issuer { clock, rule };

    IssuerFixture() { issuer.setTeams(directoryOf(teamWith(1000))); }

    bool borrow(double units) { return issuer.borrow({ .instance = "a", .team = "zagreb", .units = units }).isGranted; }
};

/// What goes wrong in a schedule.
struct Trouble {
    double lostReports = 0; ///< share of the reports of credit use, or of the replies to them
    bool areInstancesCutOff = false; ///< One instance after the other loses the issuer.
    bool isIssuerKilled = false; ///< The issuer dies, and another one takes over after the end of the lease.
    bool areProcessesRestarted = false;
    bool isIssuerForgetful = false; ///< Planted fault: the issuer does not charge what it lent.
};

/// Plays the callers of one team at several instances with one issuer, in steps of a few milliseconds.
class QuotaSchedule {
public:
    QuotaSchedule(unsigned seed, double rate, double demand, Trouble trouble)
        : m_random(seed)
        , m_team(teamWith(rate))
        , m_demand(demand * rate)
        , m_trouble(trouble)
        , m_directory(directoryOf(m_team))
    {
        m_instances.resize(std::uniform_int_distribution<unsigned>(3, 40)(m_random));
        for (auto& it : m_instances)
            restart(it);
        replaceIssuer();
    }

    void play()
    {
        static constexpr milliseconds step { 20 };
        for (m_step = 0; m_step < 1500; ++m_step) {
            m_clock.advance(step);
            strike();
            for (auto& it : m_instances)
                report(it);
            m_owed += m_demand * std::chrono::duration<double>(step).count();
            while (m_owed > 0)
                arrive();
        }
    }

    /// Most units granted in any window, as a share of what the rule permits.
    double peak() const { return m_peak; }
    /// Share of the units asked for in the last two thirds of the schedule that were refused.
    double refusedShare() const { return m_asked > 0 ? m_refused / m_asked : 0; }

private:
    struct Instance {
        std::unique_ptr<QuotaAccounts> accounts;
        std::unique_ptr<QuotaIssuer> deputy;
        SteadyTime cutUntil {};
        SteadyTime nextReport {};
    };

    double chance() { return std::uniform_real_distribution<double>()(m_random); }

    std::string nameOf(const Instance& instance) const { return std::to_string(&instance - m_instances.data()); }

    void restart(Instance& instance)
    {
        instance.accounts = std::make_unique<QuotaAccounts>(m_clock, nameOf(instance), m_random());
        instance.deputy = std::make_unique<QuotaIssuer>(m_clock, rule, QuotaIssuer::Role::Deputy);
        instance.deputy->setTeams(m_directory);
        instance.nextReport = m_clock.now() + milliseconds(static_cast<int>(400 * chance()));
    }

    void replaceIssuer()
    {
        m_issuer = std::make_unique<QuotaIssuer>(m_clock, rule);
        m_issuer->setTeams(m_directory);
        m_issuer->beginTerm(m_instances.size());
    }

    void strike()
    {
        auto& victim = m_instances[m_random() % m_instances.size()];
        if (m_trouble.areInstancesCutOff && chance() < 0.01)
            victim.cutUntil = m_clock.now() + milliseconds(500 + static_cast<int>(3000 * chance()));
        if (m_trouble.areProcessesRestarted && chance() < 0.01)
            restart(victim);
        if (m_trouble.isIssuerKilled && chance() < 0.003 && m_issuer) {
            m_issuer.reset();
            m_issuerBackAt = m_clock.now() + seconds(3);
        }
        if (!m_issuer && m_clock.now() >= m_issuerBackAt)
            replaceIssuer();
    }

    bool isIssuerReachable(const Instance& it) const { return m_issuer && m_clock.now() >= it.cutUntil; }

    void report(Instance& it)
    {
        if (m_clock.now() < it.nextReport)
            return;
        it.nextReport = m_clock.now() + milliseconds(400);
        const auto use = it.accounts->creditUse();
        if (!isIssuerReachable(it) || chance() < m_trouble.lostReports)
            return;
        m_issuer->recordCreditUse(use);
        const auto credit = m_issuer->creditOf(m_team.name, use.instance);
        if (chance() >= m_trouble.lostReports)
            it.accounts->applyCredits(use, { credit }, m_clock.bootNow());
    }

    void arrive()
    {
        const double units = chance() < 0.4 ? 200 : std::min(36'000.0, 2000 + 7000 * -std::log(1 - chance()));
        m_owed -= units;
        // A hash spreads callers unevenly: half of them come to a quarter of the instances.
        const auto range = chance() < 0.5 ? std::max<std::size_t>(1, m_instances.size() / 4) : m_instances.size();
        auto& it = m_instances[m_random() % range];
        const bool isGranted = spend(it, units);
        if (m_step > 500) {
            m_asked += units;
            m_refused += isGranted ? 0 : units;
        }
        if (isGranted)
            recordGrant(units);
    }

    bool spend(Instance& it, double units)
    {
        const auto result = it.accounts->spend(m_team.name, units);
        if (result.kind != SpendResult::Kind::MustBorrow)
            return result.kind == SpendResult::Kind::Granted;
        QuotaRequest request {
            .instance = nameOf(it), .team = m_team.name, .units = units, .share = it.accounts->share(m_team.name)
        };
        const auto reply = isIssuerReachable(it) ? borrow(request) : borrowFromDeputy(it, request);
        if (!reply.isGranted)
            it.accounts->recordDenial(m_team.name, reply.retryAfter);
        return reply.isGranted;
    }

    QuotaReply borrow(const QuotaRequest& request)
    {
        const auto before = *m_issuer;
        const auto reply = m_issuer->borrow(request);
        if (m_trouble.isIssuerForgetful)
            m_issuer = std::make_unique<QuotaIssuer>(before);
        return reply;
    }

    /// An instance that is cut off reaches only itself; the others all ask the first that is not.
    QuotaReply borrowFromDeputy(Instance& it, const QuotaRequest& request)
    {
        const auto first = std::find_if(m_instances.begin(), m_instances.end(),
            [this](const Instance& candidate) { return m_clock.now() >= candidate.cutUntil; });
        auto& deputy = m_clock.now() < it.cutUntil ? it : *first;
        return deputy.deputy->borrow(request, &deputy != &it);
    }

    void recordGrant(double units)
    {
        const auto now = m_clock.now();
        m_grants.emplace_back(now, units);
        m_inWindow += units;
        while (now - m_grants.front().first > rule.window) {
            m_inWindow -= m_grants.front().second;
            m_grants.pop_front();
        }
        const double permitted = (m_team.quota->ratePerSecond * 8 + m_team.quota->burst) * 1.1 + rule.slack;
        m_peak = std::max(m_peak, m_inWindow / permitted);
    }

    std::mt19937 m_random;
    ManualClock m_clock;
    TeamSpec m_team;
    double m_demand; ///< units per second
    Trouble m_trouble;
    TeamDirectoryPtr m_directory;
    std::vector<Instance> m_instances;
    std::unique_ptr<QuotaIssuer> m_issuer;
    SteadyTime m_issuerBackAt {};
    unsigned m_step = 0;
    double m_owed = 0;
    double m_asked = 0;
    double m_refused = 0;
    std::deque<std::pair<SteadyTime, double>> m_grants;
    double m_inWindow = 0;
    double m_peak = 0;
};

#ifdef __SANITIZE_ADDRESS__
constexpr unsigned seeds = 2; // Each schedule takes fifty times as long under the sanitizers.
#else
constexpr unsigned seeds = 60;
#endif
const double rates[] = { 18'000, 260'000, 1'280'000 };

/// Plays all seeds and rates, and returns the highest peak and the highest share that was refused.
std::pair<double, double> playAll(double demand, Trouble trouble)
{
    double peak = 0;
    double refused = 0;
    for (const double rate : rates) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            QuotaSchedule schedule(seed, rate, demand, trouble);
            schedule.play();
            peak = std::max(peak, schedule.peak());
            refused = std::max(refused, schedule.refusedShare());
        }
    }
    return { peak, refused };
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaTest)

BOOST_FIXTURE_TEST_SUITE(AnAccount, IssuerFixture)

// Guards against a new issuer that grants again what its predecessor has granted.
BOOST_AUTO_TEST_CASE(StartsEmptyAndRefills)
{
    BOOST_TEST(borrow(21)); // One request may overdraw the account.
    BOOST_TEST(!borrow(21));
    clock.advance(seconds(1));
    BOOST_TEST(borrow(1000));
    clock.advance(seconds(5));
    issuer.beginTerm(0);
    BOOST_TEST(borrow(21));
    BOOST_TEST(!borrow(21));
}

// Guards against large requests that small ones keep from ever being granted.
BOOST_AUTO_TEST_CASE(GrantsALargeRequestAtALowLevel)
{
    clock.advance(milliseconds(10));
    BOOST_TEST(borrow(36'000));
    BOOST_TEST(!borrow(50));
}

// Guards against many small requests that are refused because of one large one, and against a large one that they
// starve.
BOOST_AUTO_TEST_CASE(GrantsSmallRequestsBelowZeroUpToAPartOfTheQuota)
{
    clock.advance(seconds(60));
    BOOST_TEST(borrow(200'000));
    unsigned granted = 0;
    for (unsigned i = 0; i < 1000; ++i) {
        clock.advance(milliseconds(10));
        granted += borrow(20) ? 1 : 0;
    }
    BOOST_TEST(granted * 20 >= 4900);
    BOOST_TEST(granted * 20 <= 5400);
}

// Guards against credits that are spread over instances to which the team's callers do not come.
BOOST_AUTO_TEST_CASE(GivesCreditByDemand)
{
    clock.advance(seconds(60));
    for (const auto* it : { "a", "b" })
        issuer.recordCreditUse({ .instance = it, .process = 1, .totals = { { "zagreb", 0 } } });
    borrow(1000);
    const auto busy = issuer.creditOf("zagreb", "a");
    const auto idle = issuer.creditOf("zagreb", "b");
    BOOST_TEST(busy.share == 0.95, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(idle.share == 0.05, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(busy.units > 15 * idle.units);
}

// Guards against refused callers who return together, and before there are units for them.
BOOST_AUTO_TEST_CASE(TellsEachFurtherCallerToComeLater)
{
    const auto first = issuer.borrow({ .team = "zagreb", .units = 500 }).retryAfter;
    const auto second = issuer.borrow({ .team = "zagreb", .units = 500 }).retryAfter;
    BOOST_TEST(second.count() >= first.count() + 400);
}

// Guards against a report that is counted twice because its reply was lost, or not at all.
BOOST_AUTO_TEST_CASE(ChargesTheDifferenceOfTotals)
{
    clock.advance(seconds(60));
    const double full = issuer.status().front().level;
    for (const double total : { 100.0, 400.0, 400.0, 900.0, 700.0 })
        issuer.recordCreditUse({ .instance = "a", .process = 1, .totals = { { "zagreb", total } } });
    BOOST_TEST(issuer.status().front().level == full - 600, boost::test_tools::tolerance(1e-9));
    issuer.recordCreditUse({ .instance = "a", .process = 2, .totals = { { "zagreb", 300 } } });
    BOOST_TEST(issuer.status().front().level == full - 600, boost::test_tools::tolerance(1e-9));
}

// Guards against credit of a higher quota that stops the team long after the quota was lowered.
BOOST_AUTO_TEST_CASE(ForgivesDebtBeyondALoweredQuota)
{
    issuer.setTeams(directoryOf(teamWith(1'000'000)));
    clock.advance(seconds(10));
    issuer.recordCreditUse({ .instance = "a", .process = 1, .totals = { { "zagreb", 0 } } });
    issuer.setTeams(directoryOf(teamWith(18'000)));
    issuer.recordCreditUse({ .instance = "a", .process = 1, .totals = { { "zagreb", 400'000 } } });
    clock.advance(seconds(8));
    BOOST_TEST(borrow(200));
}

// Guards against teams without a quota that are refused.
BOOST_AUTO_TEST_CASE(IsNotKeptForTeamsWithoutAQuota)
{
    issuer.setTeams(directoryOf({ .name = "split", .keys = { "s" } }));
    BOOST_TEST(issuer.borrow({ .team = "split", .units = 1e9 }).isGranted);
    BOOST_TEST(issuer.status().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnInstance)

// Guards against a process that was suspended and spends, when it wakes, what belongs to others by now.
BOOST_AUTO_TEST_CASE(LosesItsCreditWhileItIsSuspended)
{
    ManualClock clock;
    QuotaAccounts accounts(clock, "a", 1);
    accounts.spend("zagreb", 1);
    accounts.applyCredits(accounts.creditUse(), { { "zagreb", 100, 0.1 } }, clock.bootNow());
    BOOST_CHECK(accounts.spend("zagreb", 10).kind == SpendResult::Kind::Granted);
    clock.suspend(seconds(2));
    BOOST_CHECK(accounts.spend("zagreb", 10).kind == SpendResult::Kind::MustBorrow);
}

// Guards against spending twice what was spent between a report and its reply.
BOOST_AUTO_TEST_CASE(SubtractsWhatItSpentSinceItsReport)
{
    ManualClock clock;
    QuotaAccounts accounts(clock, "a", 1);
    accounts.spend("zagreb", 1);
    accounts.applyCredits(accounts.creditUse(), { { "zagreb", 100, 0.1 } }, clock.bootNow());
    const auto report = accounts.creditUse();
    accounts.spend("zagreb", 80);
    accounts.applyCredits(report, { { "zagreb", 100, 0.1 } }, clock.bootNow());
    BOOST_CHECK(accounts.spend("zagreb", 30).kind == SpendResult::Kind::MustBorrow);
    BOOST_CHECK(accounts.spend("zagreb", 20).kind == SpendResult::Kind::Granted);
}

// Guards against a call to the issuer for each request of a team that is over its quota.
BOOST_AUTO_TEST_CASE(DeniesForAWhileWithoutAsking)
{
    ManualClock clock;
    QuotaAccounts accounts(clock, "a", 1);
    accounts.recordDenial("zagreb", milliseconds(300));
    BOOST_CHECK(accounts.spend("zagreb", 10).kind == SpendResult::Kind::Denied);
    clock.advance(milliseconds(301));
    BOOST_CHECK(accounts.spend("zagreb", 10).kind == SpendResult::Kind::MustBorrow);
}

// Guards against instances that go on with more than their shares after they lost the issuer, or not at all.
BOOST_AUTO_TEST_CASE(GetsItsShareFromADeputy)
{
    ManualClock clock;
    QuotaIssuer deputy(clock, rule, QuotaIssuer::Role::Deputy);
    deputy.setTeams(directoryOf(teamWith(1000)));
    double granted = 0;
    for (unsigned i = 0; i < 1000; ++i) {
        clock.advance(milliseconds(10));
        for (const auto* instance : { "a", "b" })
            granted += deputy.borrow({ .instance = instance, .team = "zagreb", .units = 50, .share = 0.2 }).isGranted
                ? 50
                : 0;
    }
    BOOST_TEST(granted > 0.75 * 0.4 * 10'000);
    BOOST_TEST(granted <= 0.4 * 10'000);
}

// Guards against a share that an instance uses after the issuer has given it to others.
BOOST_AUTO_TEST_CASE(MayUseItsShareOnlyForAWhile)
{
    ManualClock clock;
    QuotaAccounts accounts(clock, "a", 1);
    accounts.spend("zagreb", 1);
    accounts.applyCredits(accounts.creditUse(), { { "zagreb", 0, 0.1 } }, clock.bootNow());
    BOOST_TEST(accounts.share("zagreb") == 0);
    accounts.recordIssuerEnded();
    BOOST_TEST(accounts.share("zagreb") == 0.1);
    accounts.applyCredits(accounts.creditUse(), { { "zagreb", 0, 0.1 } }, clock.bootNow());
    BOOST_TEST(accounts.share("zagreb") == 0);
    clock.suspend(seconds(1));
    BOOST_TEST(accounts.share("zagreb") == 0.1);
    clock.suspend(seconds(20));
    BOOST_TEST(accounts.share("zagreb") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AllInstancesTogether)

// Guards against refusals of a team that stays below its quota.
BOOST_AUTO_TEST_CASE(RefuseNothingBelowTheQuota)
{
    const auto [peak, refused] = playAll(0.6, {});
    BOOST_TEST(peak <= 1);
    BOOST_TEST(refused == 0);
}

// Guards against more units in a window than the platform permits, however the callers press.
BOOST_AUTO_TEST_CASE(KeepTheQuotaUnderPressure)
{
    for (const double demand : { 1.2, 1.5, 2.0, 5.0, 20.0 })
        BOOST_TEST(playAll(demand, {}).first <= 1, "demand " << demand);
}

BOOST_AUTO_TEST_CASE(KeepTheQuotaWhileReportsAreLost) { BOOST_TEST(playAll(5, { .lostReports = 0.3 }).first <= 1); }

BOOST_AUTO_TEST_CASE(KeepTheQuotaWhileInstancesAreCutOffAndRestarted)
{
    const Trouble trouble { .lostReports = 0.1, .areInstancesCutOff = true, .areProcessesRestarted = true };
    BOOST_TEST(playAll(5, trouble).first <= 1);
}

BOOST_AUTO_TEST_CASE(KeepTheQuotaWhileTheIssuerChanges)
{
    const Trouble trouble { .lostReports = 0.1, .areInstancesCutOff = true, .isIssuerKilled = true };
    for (const double demand : { 0.9, 5.0 })
        BOOST_TEST(playAll(demand, trouble).first <= 1, "demand " << demand);
}

// Guards against schedules that are too tame to find an issuer that forgets what it lent.
BOOST_AUTO_TEST_CASE(AreSeenToExceedTheQuotaIfTheIssuerForgets)
{
    BOOST_TEST(playAll(1.5, { .isIssuerForgetful = true }).first > 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace bulrushstack
