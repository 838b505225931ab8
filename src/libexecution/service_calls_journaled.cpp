#include "service_calls_core.h"

#include "bulrushstack/kernel/ids.h"

#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds ShortRetry { 1 };

// Claims of one call. Two instances with the same key may refuse each other's claims in turn; each further round needs
// a query that overtakes the answer of the table service, so a few rounds suffice.
constexpr unsigned ClaimLimit = 4;

/// A claim that was not dispatched and may be, or become, the content of the row.
struct UnsettledClaim {
    std::string attempt;
    RowVersion base = 0;
};

/// Runs one non-idempotent call: claims the row, dispatches, answers and settles the row.
class JournaledRun {
public:
    JournaledRun(ServiceCallCorePtr core, std::shared_ptr<JournaledCall> call)
        : m_core(std::move(core))
        , m_call(std::move(call))
    {
        ++m_core->journaled;
    }
    ~JournaledRun() { --m_core->journaled; }
    JournaledRun(const JournaledRun&) = delete;
    JournaledRun& operator=(const JournaledRun&) = delete;

    asio::awaitable<void> run()
    {
        JournalDecision decision = ClaimRow { 0 };
        while (!m_call->outcome && !m_isGranted) {
            if (isPastDeadline())
                answer(refusal(ProblemCode::DeadlineExceeded, m_seen, "the deadline has passed", ShortRetry));
            else
                decision = co_await step(std::move(decision));
        }
        if (m_isGranted)
            co_await runGranted();
        for (std::size_t n = 0; n < m_unsettled.size(); ++n)
            co_await settle(m_unsettled[n]);
    }

private:
    bool isPastDeadline() const { return m_core->deps.clock.now() >= m_call->context.deadline; }
    SteadyTime storeDeadline() const { return m_core->storeDeadline(m_call->context.deadline); }

    asio::awaitable<Result<std::optional<Row>>> read(SteadyTime deadline)
    {
        auto row = co_await m_core->deps.tables.read(m_call->rowId, deadline);
        if (row)
            m_core->storeSilentUntil = {};
        co_return row;
    }

    asio::awaitable<Result<RowVersion>> commit(Transaction transaction, SteadyTime deadline)
    {
        auto committed = co_await m_core->deps.tables.commit(std::move(transaction), deadline);
        if (committed || committed.error().code == Errc::Conflict)
            m_core->storeSilentUntil = {};
        co_return committed;
    }

    asio::awaitable<JournalDecision> step(JournalDecision decision)
    {
        if (const auto* claim = std::get_if<ClaimRow>(&decision))
            co_return co_await claimRow(claim->version);
        if (const auto* ask = std::get_if<AskWriter>(&decision))
            co_return co_await askWriter(*ask);
        if (std::holds_alternative<ReadAgain>(decision))
            co_return co_await readRow();
        if (std::holds_alternative<WaitForWriter>(decision)) {
            co_await m_core->stopped.wait(
                std::min(m_core->options.pollInterval, m_call->context.deadline - m_core->deps.clock.now()));
            co_return m_ask;
        }
        if (const auto* replay = std::get_if<ReplayOutcome>(&decision))
            answer(replayOf(replay->outcome));
        else if (const auto* refuse = std::get_if<RefuseKey>(&decision))
            answer(refusal(refuse->code, refuse->verdict, "the idempotency key cannot be used for this request"));
        else
            co_await resolveUnknown();
        co_return decision;
    }

    asio::awaitable<JournalDecision> claimRow(RowVersion base)
    {
        if (++m_claims > ClaimLimit) {
            answer(refusal(ProblemCode::Overloaded, Verdict::NotRun, "other instances compete for the idempotency key",
                ShortRetry));
            co_return ReadAgain {};
        }
        const UnsettledClaim claim { .attempt = randomId(), .base = base };
        m_core->attempts.begin(claim.attempt);
        auto transaction = writeOf(base, makeEntry(claim.attempt, JournalState::Recorded));
        const auto committed = co_await commit(std::move(transaction), storeDeadline());
        if (committed)
            co_return grant(claim, *committed);
        if (committed.error().code == Errc::Conflict) {
            m_core->attempts.end(claim.attempt, AttemptState::Refused);
            m_seen = Verdict::MayHaveRun;
            co_return ReadAgain {};
        }
        if (committed.error().verdict == Verdict::NotRun) {
            m_core->attempts.end(claim.attempt, AttemptState::Refused);
            answerStoreUnavailable(Verdict::NotRun);
            co_return ReadAgain {};
        }
        co_return co_await readBack(claim);
    }

    /// Finds out what became of a claim whose answer was lost.
    asio::awaitable<JournalDecision> readBack(UnsettledClaim claim)
    {
        const auto row = co_await read(storeDeadline());
        if (!row)
            m_core->storeSilentUntil = m_core->deps.clock.now() + m_core->options.storeTimeout;
        const auto state = row ? decideOnReadBack(*row, claim.attempt, claim.base) : ClaimState::InDoubt;
        if (state == ClaimState::Own)
            co_return grant(claim, (*row)->version);
        m_core->attempts.end(claim.attempt, AttemptState::Refused);
        if (state == ClaimState::Superseded)
            co_return take(*row);
        // The claim may still take effect, but this instance will not dispatch it any more.
        m_unsettled.push_back(claim);
        answerStoreUnavailable(Verdict::NotRun);
        co_return ReadAgain {};
    }

    /// Dispatches the claim that took effect, unless it was refused to another instance or the deadline has passed.
    JournalDecision grant(const UnsettledClaim& claim, RowVersion version)
    {
        // A process that was paused for longer than rows are kept must not act on its claim. The loop of run() answers.
        const bool mayDispatch = !isPastDeadline() && m_core->attempts.tryDispatch(claim.attempt);
        if (mayDispatch) {
            m_isGranted = true;
            m_attempt = claim.attempt;
            m_version = version;
        } else {
            m_core->attempts.end(claim.attempt, AttemptState::Refused);
            m_unsettled.push_back(claim);
        }
        return ReadAgain {};
    }

    asio::awaitable<JournalDecision> readRow()
    {
        const auto row = co_await read(storeDeadline());
        if (!row) {
            answerStoreUnavailable(m_seen);
            co_return ReadAgain {};
        }
        co_return take(*row);
    }

    JournalDecision take(const std::optional<Row>& row)
    {
        m_row = row;
        const JournalQuestion question {
            .digest = m_call->digest,
            .now = m_core->deps.clock.wallNow(),
            .retention = m_core->options.retention,
        };
        auto decision = decideOnRow(row, question);
        m_seen = std::holds_alternative<ClaimRow>(decision) ? Verdict::NotRun : Verdict::MayHaveRun;
        return decision;
    }

    asio::awaitable<JournalDecision> askWriter(AskWriter ask)
    {
        m_ask = ask;
        const auto reply = co_await queryWriter(std::move(ask));
        const auto version = m_row->version;
        auto decision = decideOnReply(version, reply, m_unknownVersion == version);
        m_unknownVersion = std::holds_alternative<ReadAgain>(decision) ? version : 0;
        co_return decision;
    }

    asio::awaitable<std::optional<AttemptState>> queryWriter(AskWriter ask)
    {
        const auto& self = m_core->deps.identity;
        if (ask.instance == self.id) {
            const bool isOwn = ask.incarnation == self.incarnation;
            co_return isOwn ? m_core->attempts.query(ask.attempt) : AttemptState::Unknown;
        }
        // The envelope's field "incarnation" is the sender's.
        nlohmann::json query {
            { "type", "journal-query" },
            { "team", m_call->context.team->name },
            { "key", m_call->request.idempotencyKey },
            { "attempt", ask.attempt },
            { "target_incarnation", ask.incarnation },
        };
        const auto reply = co_await m_core->deps.queryPeer(ask.instance, std::move(query));
        if (!reply || !reply->is_object() || !reply->contains("state") || !reply->at("state").is_string())
            co_return std::nullopt;
        co_return parseAttemptState(reply->at("state").get<std::string>());
    }

    /// Answers for a row without a known outcome.
    asio::awaitable<void> resolveUnknown()
    {
        auto status = co_await readStatus(m_core, m_call->context, m_call->request, std::nullopt);
        if (!status) {
            answer(unknownOutcome("an earlier attempt with this key has no known outcome"));
            co_return;
        }
        auto entry = m_row ? parseJournalEntry(m_row->value) : std::nullopt;
        ServiceOutcome outcome { .answer = *status, .verdict = Verdict::Ran, .isReplay = true };
        answer(std::move(outcome));
        if (!entry)
            co_return;
        entry->state = JournalState::Finished;
        entry->outcome = journalOutcome(m_call->outcome.value());
        // Recorded once only: if this fails, the next send of the key reads the status again.
        auto transaction = writeOf(m_row->version, *entry);
        co_await commit(std::move(transaction), m_core->storeDeadline());
    }

    asio::awaitable<void> runGranted()
    {
        log("journal-claimed", m_attempt);
        auto end = co_await dispatch(m_core, m_call->context, m_call->request, false);
        if (end.outcome.verdict == Verdict::MayHaveRun) {
            auto status = co_await readStatus(m_core, m_call->context, m_call->request, end.route);
            if (status)
                end.outcome = { .answer = std::move(*status), .verdict = Verdict::Ran };
            else if (!isPastDeadline())
                end.outcome = unknownOutcome(std::get<Problem>(end.outcome.answer).detail);
        }
        if (end.outcome.verdict == Verdict::NotRun) {
            m_core->attempts.end(m_attempt, AttemptState::Refused);
            m_unsettled.push_back({ .attempt = m_attempt, .base = 0 });
            answer(std::move(end.outcome));
            co_return;
        }
        // Later sends of the key on this instance get the outcome from memory until the row has it.
        answer(std::move(end.outcome), true);
        co_await record();
        m_core->attempts.end(m_attempt, AttemptState::Finished);
        release();
    }

    /// Writes the outcome into the row, and retries until that succeeds.
    asio::awaitable<void> record()
    {
        auto entry = makeEntry(m_attempt, JournalState::Finished);
        entry.outcome = journalOutcome(*m_call->outcome);
        for (unsigned round = 0; mayGoOn(); ++round) {
            auto transaction = writeOf(m_version, entry);
            const auto committed = co_await commit(std::move(transaction), m_core->storeDeadline());
            // Nobody but this attempt writes the row while it is dispatched, apart from a status read that found the
            // outcome. A conflict thus means that an earlier round, or the status read, recorded it.
            if (committed || committed.error().code == Errc::Conflict) {
                log("journal-finished", m_attempt);
                co_return;
            }
            co_await pause(round);
        }
    }

    /// Abandons a claim that was not dispatched, and retries until it can neither be nor become the content of the row.
    asio::awaitable<void> settle(UnsettledClaim claim)
    {
        for (unsigned round = 0; mayGoOn(); ++round) {
            const auto row = co_await read(m_core->storeDeadline());
            if (row && mayGoOn()) {
                const auto version = decideOnSettlement(*row, claim.attempt, claim.base);
                if (!version)
                    co_return;
                auto transaction = writeOf(*version, makeEntry(claim.attempt, JournalState::Abandoned));
                const auto committed = co_await commit(std::move(transaction), m_core->storeDeadline());
                if (committed) {
                    log("journal-abandoned", claim.attempt);
                    co_return;
                }
                // After a conflict the row has changed and is read again at once.
                if (committed.error().code == Errc::Conflict)
                    continue;
            }
            co_await pause(round);
        }
    }

    /// Background work ends with the executor, and with the retention, after which the key is refused anyway.
    bool mayGoOn() const
    {
        return !m_core->isStopped && m_core->deps.clock.wallNow() - m_time < m_core->options.retention;
    }

    asio::awaitable<void> pause(unsigned round)
    {
        co_await m_core->stopped.wait(m_core->jitteredDelay(m_core->options.settleInterval, round));
    }

    Transaction writeOf(RowVersion version, const JournalEntry& entry) const
    {
        Transaction out;
        out.conditions.push_back({ .id = m_call->rowId, .version = version });
        out.writes.push_back({ .id = m_call->rowId, .value = toJson(entry) });
        return out;
    }

    JournalEntry makeEntry(const std::string& attempt, JournalState state) const
    {
        const auto& self = m_core->deps.identity;
        return { .digest = m_call->digest,
            .attempt = attempt,
            .instance = self.id,
            .incarnation = self.incarnation,
            .time = m_time,
            .state = state,
            .outcome = std::nullopt };
    }

    JournalOutcome journalOutcome(const ServiceOutcome& outcome) const
    {
        JournalOutcome out { .verdict = outcome.verdict, .response = {}, .bodyDigest = {} };
        if (const auto* response = std::get_if<HttpResponse>(&outcome.answer))
            out.response = *response;
        return limitOutcome(std::move(out), m_core->options.replayLimit);
    }

    static ServiceOutcome replayOf(const JournalOutcome& outcome)
    {
        if (outcome.bodyDigest.empty())
            return { .answer = outcome.response, .verdict = outcome.verdict, .isReplay = true };
        auto out = refusal(ProblemCode::OutcomeUnknown, outcome.verdict,
            "the request ran with status " + std::to_string(outcome.response.status)
                + "; its answer was too long to be kept and cannot be repeated, SHA-256 " + outcome.bodyDigest);
        out.isReplay = true;
        return out;
    }

    ServiceOutcome unknownOutcome(std::string detail) const
    {
        // Without a status read, a later send cannot learn more.
        const auto* service = m_call->context.configuration->service(m_call->request.service);
        const bool mayResolve = service && !service->statusPath.empty();
        return refusal(ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, std::move(detail),
            mayResolve ? ShortRetry : std::chrono::seconds(0));
    }

    void answerStoreUnavailable(Verdict verdict)
    {
        answer(refusal(
            ProblemCode::StoreUnavailable, verdict, "the table service did not confirm the record", ShortRetry));
    }

    void answer(ServiceOutcome outcome, bool isKept = false)
    {
        m_call->outcome = std::move(outcome);
        if (!isKept)
            release();
        m_call->changed.notify();
    }

    /// Lets the next send of the key on this instance start anew.
    void release()
    {
        auto it = m_core->running.find(m_call->rowId.key);
        if (it != m_core->running.end() && it->second == m_call)
            m_core->running.erase(it);
    }

    void log(std::string_view event, const std::string& attempt) const
    {
        LOG(INFO) << "event=" << event << " request=" << m_call->context.requestId
                  << " team=" << m_call->context.team->name << " service=" << m_call->request.service
                  << " attempt=" << attempt
                  << " verdict=" << (m_call->outcome ? toString(m_call->outcome->verdict) : std::string_view("none"));
    }

    ServiceCallCorePtr m_core;
    std::shared_ptr<JournaledCall> m_call;
    WallTime m_time = m_core->deps.clock.wallNow();
    std::vector<UnsettledClaim> m_unsettled;
    unsigned m_claims = 0;
    bool m_isGranted = false;
    std::string m_attempt; ///< the attempt that may be dispatched
    RowVersion m_version = 0; ///< of the row with that attempt
    Verdict m_seen = Verdict::NotRun; ///< what the row, as far as known, says of earlier attempts with the key
    std::optional<Row> m_row; ///< as last read
    AskWriter m_ask; ///< the last query
    RowVersion m_unknownVersion = 0; ///< of a row whose writer did not know its attempt; the row is read again
};

} // namespace

asio::awaitable<void> runJournaled(ServiceCallCorePtr core, std::shared_ptr<JournaledCall> call)
{
    const OutstandingCall outstanding(core);
    JournaledRun run(std::move(core), std::move(call));
    co_await run.run();
}

} // namespace bulrushstack
