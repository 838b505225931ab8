#include "journal.h"
#include "journal_attempts.h"

#include "bulrushstack/kernel/ids.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const WallTime testNow { 1000h };

JournalEntry entryOf(JournalState state, std::string attempt = "x1")
{
    JournalEntry out {
        .digest = "d", .attempt = std::move(attempt), .instance = "a", .incarnation = 3, .time = testNow, .state = state
    };
    if (state == JournalState::Finished)
        out.outcome = JournalOutcome { .verdict = Verdict::Ran, .response = { .status = 201, .body = "done" } };
    return out;
}

std::optional<Row> rowOf(const JournalEntry& entry, RowVersion version = 7)
{
    return Row { .id = journalRowId("t", "k"), .version = version, .value = toJson(entry) };
}

DecisionInput inputOf(std::string digest = "d", std::chrono::nanoseconds age = 0h)
{
    return { .digest = std::move(digest), .now = testNow + age, .retention = 24h };
}

JournalDecision decide(const JournalEntry& entry) { return decideOnRow(rowOf(entry), inputOf()); }

} // namespace

BOOST_AUTO_TEST_SUITE(Journal)

BOOST_AUTO_TEST_SUITE(Rows)

// Slashes and percent signs in a team or key must be escaped; otherwise two teams could share a row.
BOOST_AUTO_TEST_CASE(KeepTeamAndKeyApart)
{
    BOOST_TEST(journalRowId("t", "a/b").key == "t/a%2Fb");
    BOOST_TEST(journalRowId("t/a", "b").key != journalRowId("t", "a/b").key);
}

// An outcome must survive serialization unchanged, including bytes that are not valid UTF-8.
BOOST_AUTO_TEST_CASE(KeepAnyBytesOfAResponse)
{
    for (const auto& body : { std::string(), std::string("a"), std::string("ab="), std::string("\xff\0\x80", 3) }) {
        auto entry = entryOf(JournalState::Finished);
        entry.outcome->response.body = body;
        entry.outcome->response.headers = { { "X-Note", "\xe9t\xe9" } };
        const auto text = toJson(entry).dump();
        BOOST_TEST((parseJournalEntry(nlohmann::json::parse(text)) == entry));
    }
}

// Guards against a time that wraps around, so that the journal sweep would treat a new row as an old one.
BOOST_AUTO_TEST_CASE(TimesBeyondTheClockAreMalformed)
{
    auto value = toJson(JournalEntry { .digest = "d", .attempt = "a", .instance = "i" });
    BOOST_TEST(parseJournalEntry(value).has_value());
    for (const std::int64_t time : { std::int64_t { 11'700'000'000'000 }, std::numeric_limits<std::int64_t>::max(),
             std::numeric_limits<std::int64_t>::min() }) {
        value["time_ms"] = time;
        BOOST_TEST(!parseJournalEntry(value).has_value());
    }
}

// A response that is too long must not be stored truncated, since it would be replayed as if it were complete.
BOOST_AUTO_TEST_CASE(KeepOnlyTheDigestOfALongResponse)
{
    const JournalOutcome outcome { .verdict = Verdict::Ran, .response = { .status = 200, .body = "0123456789" } };
    BOOST_TEST((limitOutcomeSize(outcome, 10) == outcome));
    const auto limited = limitOutcomeSize(outcome, 9);
    BOOST_TEST(limited.response.body.empty());
    BOOST_TEST(limited.bodyDigest == sha256Hex("0123456789"));
}

// A malformed row must not be treated as absent, since its key may have been executed.
BOOST_AUTO_TEST_CASE(MalformedRowsHaveNoKnownOutcome)
{
    for (auto text : { "{}", "[]", R"({"state":"finished"})", "7" }) {
        const Row row { .version = 1, .value = nlohmann::json::parse(text) };
        BOOST_TEST(std::holds_alternative<ResolveUnknownOutcome>(decideOnRow(row, inputOf())));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Digests)

// Different requests must have different digests, and a resend of the same request must have the same digest.
BOOST_AUTO_TEST_CASE(TellRequestsApartButNotResends)
{
    ServiceRequest request { .service = "s", .request = { .method = "POST", .target = "/a", .body = "b" } };
    request.request.headers = { { "Content-Type", "text/plain" }, { "X-Order", "1" } };
    auto resend = request;
    resend.request.headers
        = { { "x-order", "1" }, { "Host", "h" }, { "Bulrush-Deadline", "1s" }, { "content-type", "text/plain" } };
    BOOST_TEST(requestDigest(resend) == requestDigest(request));
    auto other = request;
    other.request.target = "/ab";
    other.request.body = "";
    BOOST_TEST(requestDigest(other) != requestDigest(request));
    other = request;
    other.request.headers.set("X-Order", "2");
    BOOST_TEST(requestDigest(other) != requestDigest(request));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FoundRows)

// A row whose attempt was or may have been executed must not be claimed, since the request would be executed twice.
BOOST_AUTO_TEST_CASE(OnlyAbsentAndAbandonedRowsAreClaimed)
{
    BOOST_TEST((decideOnRow(std::nullopt, inputOf()) == JournalDecision(ClaimRow { 0 })));
    BOOST_TEST((decide(entryOf(JournalState::Abandoned)) == JournalDecision(ClaimRow { 7 })));
    BOOST_TEST((decide(entryOf(JournalState::Recorded)) == JournalDecision(QueryWriter { "a", 3, "x1" })));
    const auto finished = entryOf(JournalState::Finished);
    BOOST_TEST((decide(finished) == JournalDecision(ReplayOutcome { *finished.outcome })));
    auto unknown = finished;
    unknown.outcome->verdict = Verdict::MayHaveRun;
    BOOST_TEST((decide(unknown) == JournalDecision(ResolveUnknownOutcome {})));
}

// A key must not execute a different request from the one with which it was first used.
BOOST_AUTO_TEST_CASE(AnotherDigestIsAConflictInEveryState)
{
    for (auto state : { JournalState::Recorded, JournalState::Abandoned, JournalState::Finished }) {
        const auto decision = decideOnRow(rowOf(entryOf(state)), inputOf("other"));
        BOOST_TEST((decision == JournalDecision(RefuseKey { ProblemCode::KeyConflict, Verdict::NotRun })));
    }
}

// After the retention a key must be refused, with a verdict that is not not-run if its request was executed.
BOOST_AUTO_TEST_CASE(OldRowsRefuseTheirKeyWithWhatIsKnown)
{
    const std::vector<std::pair<JournalState, Verdict>> cases { { JournalState::Recorded, Verdict::MayHaveRun },
        { JournalState::Abandoned, Verdict::NotRun }, { JournalState::Finished, Verdict::Ran } };
    for (const auto& [state, verdict] : cases) {
        const auto decision = decideOnRow(rowOf(entryOf(state)), inputOf("d", 24h + 1ms));
        BOOST_TEST((decision == JournalDecision(RefuseKey { ProblemCode::KeyExpired, verdict })));
        BOOST_TEST(!std::holds_alternative<RefuseKey>(decideOnRow(rowOf(entryOf(state)), inputOf("d", 24h))));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OldRows)

// After the retention only the response is deleted, so that the key is still refused. The row is removed much later.
BOOST_AUTO_TEST_CASE(LoseTheirResponseFirstAndAreRemovedMuchLater)
{
    const auto actionOf = [](const JournalEntry& entry, std::chrono::hours age) {
        return decideOnRetention(*rowOf(entry), testNow + age, 24h, 168h);
    };
    const auto finished = entryOf(JournalState::Finished);
    BOOST_TEST((actionOf(finished, 24h) == RetentionAction::Keep));
    BOOST_TEST((actionOf(finished, 25h) == RetentionAction::StripResponse));
    BOOST_TEST((actionOf(stripResponse(finished), 168h) == RetentionAction::Keep));
    BOOST_TEST((actionOf(stripResponse(finished), 169h) == RetentionAction::Remove));
    BOOST_TEST((actionOf(entryOf(JournalState::Recorded), 25h) == RetentionAction::Keep));
    const auto refused = decideOnRow(rowOf(stripResponse(finished)), inputOf("d", 25h));
    BOOST_TEST((refused == JournalDecision(RefuseKey { ProblemCode::KeyExpired, Verdict::Ran })));
    BOOST_TEST((decideOnRetention({ .version = 1, .value = "text" }, testNow, 24h, 168h) == RetentionAction::Keep));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Replies)

// Another instance's row may be claimed only if that instance refused its attempt. A missing reply or a forgotten
// attempt does not prove that the request was not sent.
BOOST_AUTO_TEST_CASE(OnlyARefusalPermitsATakeOver)
{
    BOOST_TEST((decideOnWriterReply(7, AttemptState::Refused, false) == JournalDecision(ClaimRow { 7 })));
    BOOST_TEST((decideOnWriterReply(7, AttemptState::Running, true) == JournalDecision(WaitForWriter {})));
    for (std::optional<AttemptState> reply : { std::optional<AttemptState>(), std::optional(AttemptState::Unknown),
             std::optional(AttemptState::Finished) }) {
        BOOST_TEST((decideOnWriterReply(7, reply, false) == JournalDecision(RereadRow {})));
        BOOST_TEST((decideOnWriterReply(7, reply, true) == JournalDecision(ResolveUnknownOutcome {})));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LostResponsesToClaims)

// A claim without a response may be delayed, so an unchanged row proves neither that it failed nor that it succeeded.
BOOST_AUTO_TEST_CASE(AnUnchangedRowLeavesTheClaimInDoubt)
{
    BOOST_TEST((decideOnReadBack(std::nullopt, "x2", 0) == ClaimState::InDoubt));
    BOOST_TEST((decideOnReadBack(rowOf(entryOf(JournalState::Abandoned)), "x2", 7) == ClaimState::InDoubt));
    BOOST_TEST((decideAbandonVersion(std::nullopt, "x2", 0) == RowVersion(0)));
    BOOST_TEST((decideAbandonVersion(rowOf(entryOf(JournalState::Abandoned)), "x2", 7) == RowVersion(7)));
}

// A claim that was written must be recognised, or it would block its own key. The claim of another attempt must not.
BOOST_AUTO_TEST_CASE(TheWriterRecognisesItsOwnClaim)
{
    const auto row = rowOf(entryOf(JournalState::Recorded, "x2"), 8);
    BOOST_TEST((decideOnReadBack(row, "x2", 0) == ClaimState::Committed));
    BOOST_TEST((decideOnReadBack(row, "x3", 0) == ClaimState::Superseded));
    BOOST_TEST((decideAbandonVersion(row, "x2", 0) == RowVersion(8)));
}

// Abandoning a claim must not overwrite another attempt, and must end when the claim can no longer be written.
BOOST_AUTO_TEST_CASE(ASupersededOrAbandonedClaimIsLeftAlone)
{
    BOOST_TEST(!decideAbandonVersion(rowOf(entryOf(JournalState::Recorded, "x3"), 8), "x2", 0).has_value());
    BOOST_TEST(!decideAbandonVersion(rowOf(entryOf(JournalState::Abandoned, "x2"), 8), "x2", 0).has_value());
    BOOST_TEST(!decideAbandonVersion(std::nullopt, "x2", 7).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Attempts)

// An attempt that was reported as refused to another instance must not be dispatched, since that instance may run the
// request itself.
BOOST_AUTO_TEST_CASE(AQueryDuringTheClaimRefusesTheAttemptForGood)
{
    AttemptRegistry attempts(10);
    attempts.begin("x1");
    BOOST_TEST((attempts.query("x1") == AttemptState::Refused));
    BOOST_TEST(!attempts.tryDispatch("x1"));
    attempts.end("x1", AttemptState::Refused);
    BOOST_TEST(!attempts.tryDispatch("x1"));
    BOOST_TEST((attempts.query("x1") == AttemptState::Refused));
}

// An attempt that may have reached the service must not be reported as refused.
BOOST_AUTO_TEST_CASE(ADispatchedAttemptIsNotRefused)
{
    AttemptRegistry attempts(10);
    attempts.begin("x1");
    BOOST_TEST(attempts.tryDispatch("x1"));
    BOOST_TEST((attempts.query("x1") == AttemptState::Running));
    attempts.end("x1", AttemptState::Finished);
    BOOST_TEST((attempts.query("x1") == AttemptState::Finished));
}

// A forgotten attempt must be reported as unknown. If it were reported as refused, the request could be executed twice.
BOOST_AUTO_TEST_CASE(TheOldestEndedAttemptIsForgottenAtTheLimit)
{
    AttemptRegistry attempts(2);
    for (std::string id : { "x1", "x2", "x3" })
        attempts.end(id, AttemptState::Refused);
    BOOST_TEST((attempts.query("x1") == AttemptState::Unknown));
    BOOST_TEST((attempts.query("x2") == AttemptState::Refused));
    BOOST_TEST((attempts.query("x3") == AttemptState::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
