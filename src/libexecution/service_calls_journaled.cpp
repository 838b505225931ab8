#include "service_calls_core.h"

#include "bulrushstack/kernel/ids.h"

#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

// Claims that one call may make. Two instances with the same key may make each other's claims fail in turn. Each
// further round needs a journal-query that arrives before the response of the table service, so a few rounds suffice.
constexpr unsigned maxClaims = 4;

/// A claim that was not dispatched, but is or may still be written to the row.
struct UndispatchedClaim {
    std::string attempt;
    RowVersion base = 0; ///< row version that the write of the claim requires
};

/// Runs one non-idempotent call: claims the journal row, dispatches the request, sets the outcome of the call, and
/// brings the row to its final state.
class JournaledCallRunner {
public:
    JournaledCallRunner(ServiceCallCorePtr core, std::shared_ptr<JournaledCall> call)
        : m_core(std::move(core))
        , m_call(std::move(call))
    {
        ++m_core->outstandingJournaled;
    }
    ~JournaledCallRunner() { --m_core->outstandingJournaled; }
    JournaledCallRunner(const JournaledCallRunner&) = delete;
    JournaledCallRunner& operator=(const JournaledCallRunner&) = delete;

    asio::awaitable<void> run()
    {
        JournalDecision decision = ClaimRow { 0 };
        while (!m_call->outcome && !m_isClaimHeld) {
            if (isPastDeadline())
                setOutcome(problemOutcome(
                    ProblemCode::DeadlineExceeded, m_priorVerdict, "the deadline has passed", shortRetryAfter));
            else
                decision = co_await applyDecision(std::move(decision));
        }
        if (m_isClaimHeld)
            co_await dispatchAndRecord();
        for (std::size_t n = 0; n < m_undispatchedClaims.size(); ++n)
            co_await abandonClaim(m_undispatchedClaims[n]);
    }

private:
    bool isPastDeadline() const { return m_core->deps.clock.now() >= m_call->context.deadline; }
    SteadyTime storeDeadline() const { return m_core->storeDeadline(m_call->context.deadline); }

    asio::awaitable<Result<std::optional<Row>>> read(SteadyTime deadline)
    {
        auto row = co_await m_core->deps.tables.read(m_call->rowId, deadline);
        if (row)
            m_core->storeUnresponsiveUntil = {};
        co_return row;
    }

    asio::awaitable<Result<RowVersion>> commit(Transaction transaction, SteadyTime deadline)
    {
        auto committed = co_await m_core->deps.tables.commit(std::move(transaction), deadline);
        if (committed || committed.error().code == Errc::Conflict)
            m_core->storeUnresponsiveUntil = {};
        co_return committed;
    }

    asio::awaitable<JournalDecision> applyDecision(JournalDecision decision)
    {
        if (const auto* claim = std::get_if<ClaimRow>(&decision))
            co_return co_await claimRow(claim->version);
        if (const auto* target = std::get_if<QueryWriter>(&decision))
            co_return co_await queryWriterAndDecide(*target);
        if (std::holds_alternative<RereadRow>(decision))
            co_return co_await readRow();
        if (std::holds_alternative<WaitForWriter>(decision)) {
            co_await m_core->stopRequested.wait(
                std::min(m_core->options.writerPollInterval, m_call->context.deadline - m_core->deps.clock.now()));
            co_return m_writerQuery;
        }
        if (const auto* replay = std::get_if<ReplayOutcome>(&decision))
            setOutcome(makeReplay(replay->outcome));
        else if (const auto* refuse = std::get_if<RefuseKey>(&decision))
            setOutcome(
                problemOutcome(refuse->code, refuse->verdict, "the idempotency key cannot be used for this request"));
        else
            co_await resolveUnknown();
        co_return decision;
    }

    asio::awaitable<JournalDecision> claimRow(RowVersion base)
    {
        if (++m_claimCount > maxClaims) {
            setOutcome(problemOutcome(ProblemCode::Overloaded, Verdict::NotRun,
                "other instances compete for the idempotency key", shortRetryAfter));
            co_return RereadRow {};
        }
        const UndispatchedClaim claim { .attempt = randomId(), .base = base };
        m_core->attempts.begin(claim.attempt);
        auto transaction = makeRowWrite(base, makeEntry(claim.attempt, JournalState::Recorded));
        const auto committed = co_await commit(std::move(transaction), storeDeadline());
        if (committed)
            co_return acceptClaim(claim, *committed);
        if (committed.error().code == Errc::Conflict) {
            m_core->attempts.end(claim.attempt, AttemptState::Refused);
            m_priorVerdict = Verdict::MayHaveRun;
            co_return RereadRow {};
        }
        if (committed.error().verdict == Verdict::NotRun) {
            m_core->attempts.end(claim.attempt, AttemptState::Refused);
            setStoreUnavailable(Verdict::NotRun);
            co_return RereadRow {};
        }
        co_return co_await readBack(claim);
    }

    /// Reads the row to determine the state of a claim whose write got no response.
    asio::awaitable<JournalDecision> readBack(UndispatchedClaim claim)
    {
        const auto row = co_await read(storeDeadline());
        if (!row)
            m_core->storeUnresponsiveUntil = m_core->deps.clock.now() + m_core->options.storeTimeout;
        const auto state = row ? decideOnReadBack(*row, claim.attempt, claim.base) : ClaimState::InDoubt;
        if (state == ClaimState::Committed)
            co_return acceptClaim(claim, (*row)->version);
        m_core->attempts.end(claim.attempt, AttemptState::Refused);
        if (state == ClaimState::Superseded)
            co_return decideFromRow(*row);
        // The claim may still be written, but this instance will not dispatch it.
        m_undispatchedClaims.push_back(claim);
        setStoreUnavailable(Verdict::NotRun);
        co_return RereadRow {};
    }

    /// Accepts a claim that was written, so that run() dispatches it. Does not accept it if it was reported as refused
    /// to another instance or if the deadline has passed.
    JournalDecision acceptClaim(const UndispatchedClaim& claim, RowVersion version)
    {
        // A process that was paused until after the deadline, possibly for longer than rows are kept, must not act on
        // its claim. The loop in run() sets the outcome.
        const bool mayDispatch = !isPastDeadline() && m_core->attempts.tryDispatch(claim.attempt);
        if (mayDispatch) {
            m_isClaimHeld = true;
            m_claimedAttempt = claim.attempt;
            m_claimedVersion = version;
        } else {
            m_core->attempts.end(claim.attempt, AttemptState::Refused);
            m_undispatchedClaims.push_back(claim);
        }
        return RereadRow {};
    }

    asio::awaitable<JournalDecision> readRow()
    {
        const auto row = co_await read(storeDeadline());
        if (!row) {
            setStoreUnavailable(m_priorVerdict);
            co_return RereadRow {};
        }
        co_return decideFromRow(*row);
    }

    JournalDecision decideFromRow(const std::optional<Row>& row)
    {
        m_row = row;
        const DecisionInput input {
            .digest = m_call->digest,
            .now = m_core->deps.clock.wallNow(),
            .retention = m_core->options.retention,
        };
        auto decision = decideOnRow(row, input);
        m_priorVerdict = std::holds_alternative<ClaimRow>(decision) ? Verdict::NotRun : Verdict::MayHaveRun;
        return decision;
    }

    asio::awaitable<JournalDecision> queryWriterAndDecide(QueryWriter target)
    {
        m_writerQuery = target;
        const auto reply = co_await queryWriter(std::move(target));
        const auto version = m_row->version;
        auto decision = decideOnWriterReply(version, reply, m_rereadVersion == version);
        m_rereadVersion = std::holds_alternative<RereadRow>(decision) ? version : 0;
        co_return decision;
    }

    asio::awaitable<std::optional<AttemptState>> queryWriter(QueryWriter target)
    {
        const auto& self = m_core->deps.identity;
        if (target.instance == self.id) {
            const bool isOwn = target.incarnation == self.incarnation;
            co_return isOwn ? m_core->attempts.query(target.attempt) : AttemptState::Unknown;
        }
        // The envelope of the message has a field "incarnation" too, which is that of the sender.
        nlohmann::json query {
            { "type", "journal-query" },
            { "team", m_call->context.team->name },
            { "key", m_call->request.idempotencyKey },
            { "attempt", target.attempt },
            { "target_incarnation", target.incarnation },
        };
        const auto reply = co_await m_core->deps.queryPeer(target.instance, std::move(query));
        if (!reply || !reply->is_object() || !reply->contains("state") || !reply->at("state").is_string())
            co_return std::nullopt;
        co_return parseAttemptState(reply->at("state").get<std::string>());
    }

    /// Sets the outcome for a row whose outcome no instance knows: queries the status endpoint of the service and
    /// records the execution if it reports one.
    asio::awaitable<void> resolveUnknown()
    {
        auto status = co_await readStatus(m_core, m_call->context, m_call->request, std::nullopt);
        if (!status) {
            setOutcome(unknownOutcome("an earlier attempt with this key has no known outcome"));
            co_return;
        }
        auto entry = m_row ? parseJournalEntry(m_row->value) : std::nullopt;
        ServiceOutcome outcome { .result = *status, .verdict = Verdict::Ran, .isReplay = true };
        setOutcome(std::move(outcome));
        if (!entry)
            co_return;
        entry->state = JournalState::Finished;
        entry->outcome = journalOutcome(m_call->outcome.value());
        // This write is not retried: if it fails, the next request with the key queries the status again.
        auto transaction = makeRowWrite(m_row->version, *entry);
        co_await commit(std::move(transaction), m_core->storeDeadline());
    }

    /// Dispatches the accepted claim, sets the outcome and records it.
    asio::awaitable<void> dispatchAndRecord()
    {
        logEvent("journal-claimed", m_claimedAttempt);
        auto dispatchResult = co_await dispatch(m_core, m_call->context, m_call->request, false);
        if (dispatchResult.outcome.verdict == Verdict::MayHaveRun) {
            auto status = co_await readStatus(m_core, m_call->context, m_call->request, dispatchResult.route);
            if (status)
                dispatchResult.outcome = { .result = std::move(*status), .verdict = Verdict::Ran };
            else if (!isPastDeadline())
                dispatchResult.outcome = unknownOutcome(std::get<Problem>(dispatchResult.outcome.result).detail);
        }
        if (dispatchResult.outcome.verdict == Verdict::NotRun) {
            m_core->attempts.end(m_claimedAttempt, AttemptState::Refused);
            m_undispatchedClaims.push_back({ .attempt = m_claimedAttempt, .base = 0 });
            setOutcome(std::move(dispatchResult.outcome));
            co_return;
        }
        // Later requests with the key on this instance get the outcome from memory until it is recorded in the row.
        setOutcome(std::move(dispatchResult.outcome), true);
        co_await recordOutcome();
        m_core->attempts.end(m_claimedAttempt, AttemptState::Finished);
        removeFromRunning();
    }

    /// Writes the outcome to the row; retries until the write succeeds.
    asio::awaitable<void> recordOutcome()
    {
        auto entry = makeEntry(m_claimedAttempt, JournalState::Finished);
        entry.outcome = journalOutcome(*m_call->outcome);
        for (unsigned round = 0; mayContinue(); ++round) {
            auto transaction = makeRowWrite(m_claimedVersion, entry);
            const auto committed = co_await commit(std::move(transaction), m_core->storeDeadline());
            // While the attempt is dispatched, the row is written only by it or by an instance that got the outcome
            // from the status endpoint. A conflict thus means that the outcome is already recorded.
            if (committed || committed.error().code == Errc::Conflict) {
                logEvent("journal-finished", m_claimedAttempt);
                co_return;
            }
            co_await waitBeforeRetry(round);
        }
    }

    /// Marks a claim that was not dispatched as abandoned; retries until the claim is not in the row and can no longer
    /// be written to it.
    asio::awaitable<void> abandonClaim(UndispatchedClaim claim)
    {
        for (unsigned round = 0; mayContinue(); ++round) {
            const auto row = co_await read(m_core->storeDeadline());
            if (row && mayContinue()) {
                const auto version = decideAbandonVersion(*row, claim.attempt, claim.base);
                if (!version)
                    co_return;
                auto transaction = makeRowWrite(*version, makeEntry(claim.attempt, JournalState::Abandoned));
                const auto committed = co_await commit(std::move(transaction), m_core->storeDeadline());
                if (committed) {
                    logEvent("journal-abandoned", claim.attempt);
                    co_return;
                }
                // After a conflict the row has changed, so it is read again without delay.
                if (committed.error().code == Errc::Conflict)
                    continue;
            }
            co_await waitBeforeRetry(round);
        }
    }

    /// Returns whether background work may continue. It ends when the executor stops, and after the retention, since
    /// the key is refused from then on.
    bool mayContinue() const
    {
        return !m_core->isStopped && m_core->deps.clock.now() - m_startTime < m_core->options.retention;
    }

    asio::awaitable<void> waitBeforeRetry(unsigned round)
    {
        co_await m_core->stopRequested.wait(m_core->jitteredDelay(m_core->options.journalRetryInterval, round));
    }

    Transaction makeRowWrite(RowVersion version, const JournalEntry& entry) const
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
            .time = m_recordTime,
            .state = state,
            .outcome = std::nullopt };
    }

    JournalOutcome journalOutcome(const ServiceOutcome& outcome) const
    {
        JournalOutcome out { .verdict = outcome.verdict, .response = {}, .bodyDigest = {} };
        if (const auto* response = std::get_if<HttpResponse>(&outcome.result))
            out.response = *response;
        return limitOutcomeSize(std::move(out), m_core->options.replaySizeLimit);
    }

    static ServiceOutcome makeReplay(const JournalOutcome& outcome)
    {
        if (outcome.bodyDigest.empty())
            return { .result = outcome.response, .verdict = outcome.verdict, .isReplay = true };
        auto out = problemOutcome(ProblemCode::OutcomeUnknown, outcome.verdict,
            "the request ran with status " + std::to_string(outcome.response.status)
                + "; its response was too long to be stored and cannot be replayed, SHA-256 " + outcome.bodyDigest);
        out.isReplay = true;
        return out;
    }

    ServiceOutcome unknownOutcome(std::string detail) const
    {
        // Without a status endpoint, the outcome stays unknown, so a retry is useless.
        const auto* service = m_call->context.configuration->service(m_call->request.service);
        const bool mayResolve = service && !service->statusPath.empty();
        return problemOutcome(ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, std::move(detail),
            mayResolve ? shortRetryAfter : std::chrono::seconds(0));
    }

    void setStoreUnavailable(Verdict verdict)
    {
        setOutcome(problemOutcome(
            ProblemCode::StoreUnavailable, verdict, "the table service did not confirm the record", shortRetryAfter));
    }

    /// Sets the outcome of the call and wakes its waiters. `staysInRunningCalls` makes later requests with the key
    /// share it.
    void setOutcome(ServiceOutcome outcome, bool staysInRunningCalls = false)
    {
        m_call->outcome = std::move(outcome);
        if (!staysInRunningCalls)
            removeFromRunning();
        m_call->outcomeChanged.notify();
    }

    /// Removes the call from the running ones, so that the next request with the key starts a new call.
    void removeFromRunning()
    {
        auto it = m_core->runningCalls.find(m_call->rowId.key);
        if (it != m_core->runningCalls.end() && it->second == m_call)
            m_core->runningCalls.erase(it);
    }

    void logEvent(std::string_view event, const std::string& attempt) const
    {
        LOG(INFO) << "event=" << event << " request=" << m_call->context.requestId
                  << " team=" << m_call->context.team->name << " service=" << m_call->request.service
                  << " attempt=" << attempt
                  << " verdict=" << (m_call->outcome ? toString(m_call->outcome->verdict) : std::string_view("none"));
    }

    ServiceCallCorePtr m_core;
    std::shared_ptr<JournaledCall> m_call;
    SteadyTime m_startTime = m_core->deps.clock.now();
    WallTime m_recordTime = m_core->deps.clock.wallNow(); ///< time of the rows, which outlive this process
    std::vector<UndispatchedClaim> m_undispatchedClaims;
    unsigned m_claimCount = 0; ///< claims made so far
    bool m_isClaimHeld = false;
    std::string m_claimedAttempt; ///< attempt of the accepted claim, which may be dispatched
    RowVersion m_claimedVersion = 0; ///< row version that the accepted claim has written
    Verdict m_priorVerdict = Verdict::NotRun; ///< verdict of earlier attempts with the key, as far as known
    std::optional<Row> m_row; ///< the row as last read
    QueryWriter m_writerQuery; ///< target of the last journal-query
    RowVersion m_rereadVersion = 0; ///< version of the row when its writer last reported no usable state; 0: never
};

} // namespace

asio::awaitable<void> runJournaled(ServiceCallCorePtr core, std::shared_ptr<JournaledCall> call)
{
    const OutstandingCallGuard outstanding(core);
    JournaledCallRunner runner(std::move(core), std::move(call));
    co_await runner.run();
}

} // namespace bulrushstack
