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

/// State of a journal row. The journal has one row for each idempotency key of a team.
enum class JournalState {
    Recorded, ///< only the instance that wrote the row may dispatch the attempt
    Abandoned, ///< the attempt was not run and never will be; another attempt may claim the row
    Finished, ///< the attempt has an outcome
};

/// The result of a dispatched attempt.
struct JournalOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    HttpResponse response; ///< valid only if the verdict is Ran
    std::string bodyDigest; ///< SHA-256 in hexadecimal digits; set if the response was too long to be stored

    friend bool operator==(const JournalOutcome&, const JournalOutcome&) = default;
};

/// The value of a journal row. It describes one attempt, which begins with a conditional write of the row (the claim).
struct JournalEntry {
    std::string digest; ///< digest of the request, see requestDigest()
    std::string attempt; ///< random id of the attempt
    std::string instance; ///< id of the instance that wrote the row
    std::uint64_t incarnation = 0; ///< distinguishes the process from earlier ones with the same instance id
    WallTime time {}; ///< start of the attempt by the clock of the instance that wrote the row
    JournalState state = JournalState::Recorded;
    std::optional<JournalOutcome> outcome; ///< set if the state is Finished

    friend bool operator==(const JournalEntry&, const JournalEntry&) = default;
};

/// Returns the id of the journal row for an idempotency key of a team.
RowId journalRowId(std::string_view team, std::string_view key);

/// Returns the SHA-256 digest of service, method, target, body and forwarded headers. Headers that may differ when a
/// caller sends the same request again, such as Date and hop-by-hop headers, are left out.
std::string requestDigest(const ServiceRequest& request);

/// Serializes an entry to the JSON value of a row.
nlohmann::json toJson(const JournalEntry& entry);

/// Parses the value of a row; returns nothing if it is malformed.
std::optional<JournalEntry> parseJournalEntry(const nlohmann::json& value);

/// Replaces a response whose headers and body together exceed the limit (in bytes) by the digest of its body.
JournalOutcome limitOutcomeSize(JournalOutcome outcome, std::size_t limit);

/// Decision: write a new attempt into the row, on condition that it still has the version (0: it does not exist).
struct ClaimRow {
    RowVersion version = 0;
    friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

/// Decision: respond with the recorded outcome.
struct ReplayOutcome {
    JournalOutcome outcome;
    friend bool operator==(const ReplayOutcome&, const ReplayOutcome&) = default;
};

/// Decision: ask the instance that wrote the row for the state of its attempt.
struct QueryWriter {
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string attempt;
    friend bool operator==(const QueryWriter&, const QueryWriter&) = default;
};

/// Decision: no instance knows the outcome, so query the status endpoint of the service; if the service has none, or
/// does not report an execution, respond with the verdict may-have-run.
struct ResolveUnknownOutcome {
    friend bool operator==(const ResolveUnknownOutcome&, const ResolveUnknownOutcome&) = default;
};

/// Decision: refuse the request with the given problem.
struct RefuseKey {
    ProblemCode code = ProblemCode::KeyConflict;
    Verdict verdict = Verdict::NotRun;
    friend bool operator==(const RefuseKey&, const RefuseKey&) = default;
};

/// Decision: the instance that wrote the row still runs the attempt, so wait and query it again.
struct WaitForWriter {
    friend bool operator==(const WaitForWriter&, const WaitForWriter&) = default;
};

/// Decision: read the row again, since it may have changed.
struct RereadRow {
    friend bool operator==(const RereadRow&, const RereadRow&) = default;
};

using JournalDecision
    = std::variant<ClaimRow, ReplayOutcome, QueryWriter, ResolveUnknownOutcome, RefuseKey, WaitForWriter, RereadRow>;

/// Input of decideOnRow() besides the row: the digest of the request, the current time and the retention.
struct DecisionInput {
    std::string digest;
    WallTime now {};
    std::chrono::nanoseconds retention {};
};

/// Decides how to proceed with a request, given the row of its idempotency key as read from the table service.
///
/// If the row is older than the retention, the key is refused. That includes abandoned rows, although nothing was
/// executed for them, so that callers have to know one rule only.
JournalDecision decideOnRow(const std::optional<Row>& row, const DecisionInput& input);

/// How the journal sweep treats a row, depending on its age.
enum class RetentionAction {
    Keep,
    StripResponse, ///< delete the recorded response and keep the rest of the row, so that the key is still refused
    Remove,
};

/// Decides how the sweep treats a row. A key does not contain its creation time, so the key of a removed row looks like
/// a new one. Rows are therefore removed much later than they expire, and callers must not reuse a key after
/// `rowRemovalAge`. A malformed row is kept, since its age is unknown.
RetentionAction decideOnRetention(
    const Row& row, WallTime now, std::chrono::nanoseconds retention, std::chrono::nanoseconds rowRemovalAge);

/// Returns the entry without its recorded response, except for the status code.
JournalEntry stripResponse(JournalEntry entry);

/// State of an attempt as an instance reports it in reply to a journal-query.
enum class AttemptState {
    Running, ///< dispatched, or finished and not yet recorded in the row
    Refused, ///< not dispatched, and never will be
    Finished, ///< the outcome is recorded in the row
    Unknown, ///< the instance has no record of the attempt
};

/// Returns the spelling in journal-query replies: "running", "refused", "finished" or "unknown".
std::string_view toString(AttemptState state);

/// Parses the spelling returned by toString(); returns nothing for any other text.
std::optional<AttemptState> parseAttemptState(std::string_view text);

/// Decides how to proceed after querying the instance that wrote the row. `reply` is empty if none was received.
/// `wasReread` means that the row was read again after an earlier reply of this kind and has not changed. The
/// outcome is then unknown, because an instance forgets an attempt only after it has written the row.
JournalDecision decideOnWriterReply(RowVersion version, std::optional<AttemptState> reply, bool wasReread);

/// State of a claim whose write got no response, as determined by reading the row back.
enum class ClaimState {
    Committed, ///< the claim was written to the row
    InDoubt, ///< the claim may still be written, since the request may be delayed in the network
    Superseded, ///< the claim was not written or has been replaced; its condition cannot hold any more
};

/// Determines the state of a claim from the row as read back. `base` is the row version that the claim required.
ClaimState decideOnReadBack(const std::optional<Row>& row, std::string_view attempt, RowVersion base);

/// Returns the row version that the write which abandons the claim has to require. Returns nothing if no such write is
/// needed, because the claim is not in the row and can no longer be written.
std::optional<RowVersion> decideAbandonVersion(
    const std::optional<Row>& row, std::string_view attempt, RowVersion base);

} // namespace bulrushstack
