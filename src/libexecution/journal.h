#pragma once

#include "bulrushstack/execution/service_calls.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/verdict.h"
#include "bulrushstack/net/http.h"
#include "bulrushstack/platform/table_service.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace bulrushstack {

/// State of a journal row.
enum class JournalState {
    Recorded, ///< the attempt may be dispatched by its writer, and by nobody else
    Abandoned, ///< the attempt was not run and will not be; the row may be taken over
    Finished, ///< the attempt has an outcome
};

/// What became of a dispatched attempt.
struct JournalOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    HttpResponse response; ///< meaningful if the verdict is Ran
    std::string bodyDigest; ///< not empty if the body was too long to be kept; the answer cannot be replayed then

    friend bool operator==(const JournalOutcome&, const JournalOutcome&) = default;
};

/// The value of a journal row. An attempt is one conditional write of a row and has a random id of its own.
struct JournalEntry {
    std::string digest; ///< of the request
    std::string attempt;
    std::string instance;
    std::uint64_t incarnation = 0;
    WallTime time {}; ///< when the attempt began, by the clock of its writer
    JournalState state = JournalState::Recorded;
    std::optional<JournalOutcome> outcome; ///< set if the state is Finished

    friend bool operator==(const JournalEntry&, const JournalEntry&) = default;
};

/// Names the row of a team's idempotency key.
RowId journalRowId(std::string_view team, std::string_view key);

/// Returns the digest of service, method, target, body and forwarded headers. Headers that belong to a connection or
/// that differ between two sends of the same request are left out.
std::string requestDigest(const ServiceRequest& request);

/// Returns the value of a row as JSON.
nlohmann::json toJson(const JournalEntry& entry);

/// Parses a row's value; empty if it is malformed.
std::optional<JournalEntry> parseJournalEntry(const nlohmann::json& value);

/// Replaces a response that is longer than the limit in bytes, headers included, by the digest of its body.
JournalOutcome limitOutcomeSize(JournalOutcome outcome, std::size_t limit);

/// Write the own attempt, conditional on the version (0: absent).
struct ClaimRow {
    RowVersion version = 0;
    friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

/// Answer with the recorded outcome.
struct ReplayOutcome {
    JournalOutcome outcome;
    friend bool operator==(const ReplayOutcome&, const ReplayOutcome&) = default;
};

/// Ask the instance that wrote the row what it knows of the attempt.
struct QueryWriter {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string attempt;
    friend bool operator==(const QueryWriter&, const QueryWriter&) = default;
};

/// Nobody knows the outcome: ask the service where it has a status read, else answer may-have-run.
struct ResolveUnknownOutcome {
    friend bool operator==(const ResolveUnknownOutcome&, const ResolveUnknownOutcome&) = default;
};

/// Answer with a problem.
struct RefuseKey {
    ProblemCode code = ProblemCode::KeyConflict;
    Verdict verdict = Verdict::NotRun;
    friend bool operator==(const RefuseKey&, const RefuseKey&) = default;
};

/// The writer still runs the attempt: wait, then ask again.
struct WaitForWriter {
    friend bool operator==(const WaitForWriter&, const WaitForWriter&) = default;
};

/// The row may have changed since it was read: read it again.
struct RereadRow {
    friend bool operator==(const RereadRow&, const RereadRow&) = default;
};

using JournalDecision
    = std::variant<ClaimRow, ReplayOutcome, QueryWriter, ResolveUnknownOutcome, RefuseKey, WaitForWriter, RereadRow>;

/// The request and the time for which a decision is made.
struct DecisionInput {
    std::string digest;
    WallTime now {};
    std::chrono::nanoseconds retention {};
};

/// Decides what a request does that finds the row as read.
///
/// A row older than the retention refuses its key. An abandoned row expires too, although nothing was run under it, so
/// that callers need to know one rule only.
JournalDecision decideOnRow(const std::optional<Row>& row, const DecisionInput& input);

/// What happens to a row because of its age.
enum class RetentionAction {
    Keep,
    StripResponse, ///< drop the recorded answer and keep the rest, so that the key is still refused
    Remove,
};

/// Decides on the age of a row. Nothing in a key tells its age, so a removed row cannot be told apart from a new key.
/// Rows are therefore removed much later than they expire, and callers must not send a key again after the removal
/// age. A malformed row is kept, since its age is not known.
RetentionAction decideOnRetention(
    const Row& row, WallTime now, std::chrono::nanoseconds retention, std::chrono::nanoseconds rowRemovalAge);

/// Returns the entry without its recorded answer.
JournalEntry stripResponse(JournalEntry entry);

/// What an instance knows of an attempt.
enum class AttemptState {
    Running, ///< dispatched, or finished and not yet recorded
    Refused, ///< never dispatched, and it will not be
    Finished, ///< recorded in the row
    Unknown,
};

std::string_view toString(AttemptState state); ///< "running", "refused", "finished" or "unknown"
std::optional<AttemptState> parseAttemptState(std::string_view text);

/// Decides what to do with the writer's reply; an empty reply means that none came. `wasReadAgain` says that the row
/// was read again after such a reply and is unchanged: a writer forgets attempts only after their row was written.
JournalDecision decideOnWriterReply(RowVersion version, std::optional<AttemptState> reply, bool wasReread);

/// What a row, read back after a claim without an answer, says of the claim.
enum class ClaimState {
    Committed, ///< the claim took effect
    InDoubt, ///< the claim may still take effect
    Superseded, ///< the claim did not take effect and cannot any more
};

/// Decides on the row as read back. `base` is the version on which the claim was conditional.
ClaimState decideOnReadBack(const std::optional<Row>& row, std::string_view attempt, RowVersion base);

/// Returns the version on which the write that abandons the claim has to be conditional, or nothing if the claim needs
/// no such write any more, since it cannot take effect and is not in the row.
std::optional<RowVersion> decideAbandonVersion(
    const std::optional<Row>& row, std::string_view attempt, RowVersion base);

} // namespace bulrushstack
