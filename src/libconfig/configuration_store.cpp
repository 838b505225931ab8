#include "bulrushstack/config/configuration_store.h"

#include "bulrushstack/config/configuration_json.h"
#include "configuration_records.h"

#include <algorithm>

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

/// Maximum number of commits with an unknown outcome in one call of apply(); after that, the client may send the change
/// again.
constexpr int maxUnknownCommits = 3;
constexpr std::size_t pageSize = 500; ///< maximum number of rows in one list request

struct HeadRow {
    ConfigurationHead head;
    RowVersion version = 0;
};

Failure malformed(std::string detail)
{
    return { .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = std::move(detail) };
}

ChangeOutcome accepted(std::uint64_t revision)
{
    ChangeOutcome out;
    out.status = ChangeStatus::Accepted;
    out.revision = revision;
    return out;
}

ChangeOutcome invalid(std::vector<ValidationError> errors)
{
    ChangeOutcome out;
    out.status = ChangeStatus::Invalid;
    out.errors = std::move(errors);
    return out;
}

ChangeOutcome invalid(std::string path, std::string value, std::string permitted)
{
    return invalid({ { .path = std::move(path), .value = std::move(value), .permitted = std::move(permitted) } });
}

ChangeOutcome conflict(std::vector<ConfigurationRecord> conflictingRecords)
{
    ChangeOutcome out;
    out.status = ChangeStatus::Conflict;
    out.conflictingRecords = std::move(conflictingRecords);
    return out;
}

ChangeOutcome unavailable(Failure failure, Verdict verdict)
{
    ChangeOutcome out;
    out.status = ChangeStatus::Unavailable;
    out.failure = std::move(failure);
    out.failure.verdict = verdict;
    return out;
}

asio::awaitable<Result<HeadRow>> readHead(TableService& tables, SteadyTime deadline)
{
    const RowId id { .table = configurationTable, .key = headKey };
    auto row = co_await tables.read(id, deadline);
    if (!row)
        co_return row.error();
    if (!*row)
        co_return HeadRow { .head = { .revision = 0, .digest = Configuration::empty()->digest() }, .version = 0 };
    const auto head = headFromJson((*row)->value);
    if (!head)
        co_return malformed("row config/head is malformed");
    co_return HeadRow { .head = *head, .version = (*row)->version };
}

ValidationError missingObjectError(std::size_t index, const ConfigurationEdit& edit)
{
    return {
        .path = "/edits/" + std::to_string(index) + "/name", .value = edit.name, .permitted = "an existing " + edit.kind
    };
}

/// Returns an error for each deletion of an object that does not exist.
std::vector<ValidationError> checkDeletions(const nlohmann::json& document, const std::vector<ConfigurationEdit>& edits)
{
    std::vector<ValidationError> out;
    for (std::size_t i = 0; i < edits.size(); ++i) {
        const auto section = document.find(sectionOfKind(edits[i].kind));
        const bool exists = section != document.end() && section->contains(edits[i].name);
        if (!edits[i].value && !exists)
            out.push_back(missingObjectError(i, edits[i]));
    }
    return out;
}

/// State of one call of ConfigurationStore::apply().
class ApplyOperation {
public:
    ApplyOperation(TableService& tables, ObjectStore& objects, ConfigurationStore& store, const Clock& clock,
        ConfigurationChange change, SteadyTime deadline)
        : m_tables(tables)
        , m_objects(objects)
        , m_store(store)
        , m_clock(clock)
        , m_change(std::move(change))
        , m_deadline(deadline)
        , m_contentDigest(contentDigest(m_change))
    {
    }

    asio::awaitable<ChangeOutcome> run()
    {
        for (int unknownCommits = 0; unknownCommits < maxUnknownCommits;) {
            if (m_clock.now() >= m_deadline)
                co_return failed({ .code = Errc::Timeout, .verdict = Verdict::NotRun, .detail = "deadline passed" });
            // The head must be read before the row of the change id. If the row is still absent after that, no earlier
            // commit that required an older head can take effect any more.
            auto head = co_await readHead(m_tables, m_deadline);
            if (!head)
                co_return failed(head.error());
            auto committed = co_await findCommittedChange();
            if (committed)
                co_return std::move(*committed);
            if (m_unknownCommitHeadVersion && *m_unknownCommitHeadVersion != head->version)
                m_unknownCommitHeadVersion.reset();
            auto outcome = co_await attempt(*head);
            if (outcome)
                co_return std::move(*outcome);
            if (m_unknownCommitHeadVersion)
                ++unknownCommits;
        }
        co_return failed({ .code = Errc::Unavailable,
            .verdict = Verdict::MayHaveRun,
            .detail = "no response to the commit was received, so its outcome is unknown" });
    }

private:
    using FinalOutcome = std::optional<ChangeOutcome>;

    /// Returns the verdict for the whole change: MayHaveRun while a commit without a response may still take effect.
    Verdict verdict() const { return m_unknownCommitHeadVersion ? Verdict::MayHaveRun : Verdict::NotRun; }

    ChangeOutcome failed(Failure failure) const { return unavailable(std::move(failure), verdict()); }

    /// Returns the outcome if a change with this id was committed or the row of the id cannot be read.
    asio::awaitable<FinalOutcome> findCommittedChange()
    {
        const RowId id { .table = configurationTable, .key = changeKey(m_change.changeId) };
        auto row = co_await m_tables.read(id, m_deadline);
        if (!row)
            co_return failed(row.error());
        if (!*row)
            co_return std::nullopt;
        const auto record = recordFromJson((*row)->value);
        if (!record)
            co_return failed(malformed("row config/" + id.key + " is malformed"));
        if ((*row)->value.value("content", std::string()) != m_contentDigest)
            co_return invalid("/change_id", m_change.changeId, "an id that no other change has used");
        co_return accepted(record->revision);
    }

    /// Tries to commit the change on the given head. Returns an empty optional if it must be tried again on a newer
    /// head.
    asio::awaitable<FinalOutcome> attempt(HeadRow head)
    {
        const auto revision = head.head.revision;
        if (m_change.baseRevision > revision)
            co_return invalid("/base_revision", std::to_string(m_change.baseRevision),
                "a revision up to " + std::to_string(revision));
        auto conflictingRecords = co_await findConflicting(revision);
        if (!conflictingRecords)
            co_return failed(conflictingRecords.error());
        if (!conflictingRecords->empty())
            co_return conflict(std::move(*conflictingRecords));
        auto current = co_await m_store.fetch(head.head, m_deadline);
        if (!current)
            co_return failed(current.error());
        const auto& document = (*current)->document();
        auto deletions = checkDeletions(document, m_change.edits);
        auto next = Configuration::parse(applyEdits(document, m_change.edits, revision + 1));
        next.errors.insert(next.errors.end(), deletions.begin(), deletions.end());
        if (!next.errors.empty())
            co_return invalid(std::move(next.errors));
        co_return co_await commit(std::move(head), std::move(next.configuration));
    }

    /// Returns the records after the base revision that edit the same objects as this change.
    asio::awaitable<Result<std::vector<ConfigurationRecord>>> findConflicting(std::uint64_t headRevision)
    {
        std::vector<ConfigurationRecord> out;
        auto revision = m_change.baseRevision;
        while (revision < headRevision) {
            auto rows = co_await m_tables.list(
                configurationTable, revisionPrefix, revisionKey(revision), pageSize, m_deadline);
            if (!rows)
                co_return rows.error();
            for (const auto& row : *rows) {
                const auto record = recordFromJson(row.value);
                if (!record || record->revision != revision + 1)
                    co_return malformed(
                        "the record of revision " + std::to_string(revision + 1) + " is missing or malformed");
                if (++revision > headRevision)
                    break;
                if (editsSameObject(*record, m_change))
                    out.push_back(*record);
            }
            if (rows->empty())
                co_return malformed("the record of revision " + std::to_string(revision + 1) + " is missing");
        }
        co_return out;
    }

    asio::awaitable<FinalOutcome> commit(HeadRow head, ConfigurationPtr next)
    {
        auto stored = co_await m_objects.put(next->text(), m_deadline);
        if (!stored)
            co_return failed(stored.error());
        auto transaction = buildTransaction(head, *next);
        auto version = co_await m_tables.commit(std::move(transaction), m_deadline);
        if (version)
            co_return accepted(next->revision());
        if (version.error().verdict != Verdict::NotRun) {
            m_unknownCommitHeadVersion = head.version;
            co_return std::nullopt;
        }
        if (version.error().code == Errc::Conflict)
            co_return std::nullopt;
        co_return failed(version.error());
    }

    Transaction buildTransaction(const HeadRow& head, const Configuration& next) const
    {
        ConfigurationRecord record {
            .revision = next.revision(),
            .changeId = m_change.changeId,
            .author = m_change.author,
            .acceptedAt = formatUtc(m_clock.wallNow()),
            .digest = next.digest(),
            .objects = {},
        };
        for (const auto& edit : m_change.edits)
            record.objects.emplace_back(edit.kind, edit.name);
        auto changeRow = toJson(record);
        changeRow["content"] = m_contentDigest;
        const RowId headId { .table = configurationTable, .key = headKey };
        const RowId revisionId { .table = configurationTable, .key = revisionKey(next.revision()) };
        const RowId changeId { .table = configurationTable, .key = changeKey(m_change.changeId) };
        Transaction out;
        out.conditions = { { .id = headId, .version = head.version }, { .id = revisionId, .version = 0 },
            { .id = changeId, .version = 0 } };
        out.writes = {
            { .id = headId, .value = headToJson({ .revision = next.revision(), .digest = next.digest() }) },
            { .id = revisionId, .value = toJson(record) },
            { .id = changeId, .value = std::move(changeRow) },
        };
        return out;
    }

    TableService& m_tables;
    ObjectStore& m_objects;
    ConfigurationStore& m_store;
    const Clock& m_clock;
    ConfigurationChange m_change;
    SteadyTime m_deadline;
    std::string m_contentDigest;
    std::optional<RowVersion> m_unknownCommitHeadVersion; ///< head version required by the last unanswered commit
};

} // namespace

ConfigurationStore::ConfigurationStore(TableService& tables, ObjectStore& objects, const Clock& clock)
    : m_tables(tables)
    , m_objects(objects)
    , m_clock(clock)
{
}

asio::awaitable<Result<ConfigurationHead>> ConfigurationStore::head(SteadyTime deadline)
{
    auto row = co_await readHead(m_tables, deadline);
    if (!row)
        co_return row.error();
    co_return row->head;
}

asio::awaitable<Result<ConfigurationPtr>> ConfigurationStore::fetch(ConfigurationHead head, SteadyTime deadline)
{
    if (head.revision == 0)
        co_return Configuration::empty();
    auto text = co_await m_objects.get(head.digest, deadline);
    if (!text)
        co_return text.error();
    if (!*text)
        co_return Failure { .code = Errc::NotFound, .verdict = Verdict::NotRun, .detail = "no object " + head.digest };
    co_return verifyAndParse(head, **text);
}

asio::awaitable<ChangeOutcome> ConfigurationStore::apply(ConfigurationChange change, SteadyTime deadline)
{
    auto errors = validateChange(change);
    if (!errors.empty())
        co_return invalid(std::move(errors));
    ApplyOperation operation(m_tables, m_objects, *this, m_clock, std::move(change), deadline);
    co_return co_await operation.run();
}

asio::awaitable<Result<std::optional<ConfigurationRecord>>> ConfigurationStore::findChange(
    std::string changeId, SteadyTime deadline)
{
    const RowId id { .table = configurationTable, .key = changeKey(changeId) };
    auto row = co_await m_tables.read(id, deadline);
    if (!row)
        co_return row.error();
    if (!*row)
        co_return std::optional<ConfigurationRecord>();
    auto record = recordFromJson((*row)->value);
    if (!record)
        co_return malformed("row config/" + id.key + " is malformed");
    co_return std::optional(std::move(*record));
}

asio::awaitable<Result<std::vector<ConfigurationRecord>>> ConfigurationStore::history(
    std::size_t limit, SteadyTime deadline)
{
    auto row = co_await readHead(m_tables, deadline);
    if (!row)
        co_return row.error();
    const auto newest = row->head.revision;
    auto oldest = newest > limit ? newest - limit : 0;
    std::vector<ConfigurationRecord> out;
    while (oldest < newest) {
        auto rows = co_await m_tables.list(configurationTable, revisionPrefix, revisionKey(oldest), pageSize, deadline);
        if (!rows)
            co_return rows.error();
        if (rows->empty())
            break;
        for (const auto& it : *rows) {
            auto record = recordFromJson(it.value);
            // A revision that does not increase would make the loop read the same page forever.
            if (!record || record->revision <= oldest)
                co_return malformed("row config/" + it.id.key + " is malformed");
            oldest = record->revision;
            if (oldest <= newest)
                out.push_back(std::move(*record));
        }
    }
    std::reverse(out.begin(), out.end());
    co_return out;
}

} // namespace bulrushstack
