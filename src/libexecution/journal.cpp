#include "journal.h"

namespace bulrushstack {

namespace {

JournalDecision decideOnFinished(const JournalOutcome& outcome)
{
    if (outcome.verdict == Verdict::Ran)
        return ReplayOutcome { outcome };
    return ResolveUnknownOutcome {};
}

Verdict knownVerdict(const JournalEntry& entry)
{
    if (entry.state == JournalState::Abandoned)
        return Verdict::NotRun;
    return entry.outcome ? entry.outcome->verdict : Verdict::MayHaveRun;
}

} // namespace

JournalDecision decideOnRow(const std::optional<Row>& row, const DecisionInput& input)
{
    if (!row)
        return ClaimRow { 0 };
    const auto entry = parseJournalEntry(row->value);
    if (!entry)
        return ResolveUnknownOutcome {};
    if (entry->digest != input.digest)
        return RefuseKey { ProblemCode::KeyConflict, Verdict::NotRun };
    if (input.now - entry->time > input.retention)
        return RefuseKey { ProblemCode::KeyExpired, knownVerdict(*entry) };
    switch (entry->state) {
    case JournalState::Abandoned:
        return ClaimRow { row->version };
    case JournalState::Finished:
        return decideOnFinished(*entry->outcome);
    case JournalState::Recorded:
        break;
    }
    return QueryWriter { entry->instance, entry->incarnation, entry->attempt };
}

JournalDecision decideOnWriterReply(RowVersion version, std::optional<AttemptState> reply, bool wasReread)
{
    switch (reply.value_or(AttemptState::Unknown)) {
    case AttemptState::Running:
        return WaitForWriter {};
    case AttemptState::Refused:
        return ClaimRow { version };
    case AttemptState::Finished:
    case AttemptState::Unknown:
        break;
    }
    if (wasReread)
        return ResolveUnknownOutcome {};
    return RereadRow {};
}

ClaimState decideOnReadBack(const std::optional<Row>& row, std::string_view attempt, RowVersion base)
{
    const RowVersion version = row ? row->version : 0;
    if (version == base)
        return ClaimState::InDoubt;
    const auto entry = row ? parseJournalEntry(row->value) : std::nullopt;
    if (entry && entry->attempt == attempt && entry->state == JournalState::Recorded)
        return ClaimState::Committed;
    return ClaimState::Superseded;
}

std::optional<RowVersion> decideAbandonVersion(const std::optional<Row>& row, std::string_view attempt, RowVersion base)
{
    switch (decideOnReadBack(row, attempt, base)) {
    case ClaimState::Committed:
        return row->version;
    case ClaimState::InDoubt:
        return base;
    case ClaimState::Superseded:
        break;
    }
    return std::nullopt;
}

RetentionAction decideOnRetention(
    const Row& row, WallTime now, std::chrono::nanoseconds retention, std::chrono::nanoseconds rowRemovalAge)
{
    const auto entry = parseJournalEntry(row.value);
    if (!entry || now - entry->time <= retention)
        return RetentionAction::Keep;
    if (now - entry->time > rowRemovalAge)
        return RetentionAction::Remove;
    return stripResponse(*entry) == *entry ? RetentionAction::Keep : RetentionAction::StripResponse;
}

JournalEntry stripResponse(JournalEntry entry)
{
    if (entry.outcome) {
        entry.outcome->response = { .status = entry.outcome->response.status };
        entry.outcome->bodyDigest.clear();
    }
    return entry;
}

std::string_view toString(AttemptState state)
{
    switch (state) {
    case AttemptState::Running:
        return "running";
    case AttemptState::Refused:
        return "refused";
    case AttemptState::Finished:
        return "finished";
    case AttemptState::Unknown:
        break;
    }
    return "unknown";
}

std::optional<AttemptState> parseAttemptState(std::string_view text)
{
    for (auto state : { AttemptState::Running, AttemptState::Refused, AttemptState::Finished, AttemptState::Unknown }) {
        if (toString(state) == text)
            return state;
    }
    return std::nullopt;
}

} // namespace bulrushstack
