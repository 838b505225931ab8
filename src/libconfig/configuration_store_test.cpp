#include "bulrushstack/config/configuration_store.h"
#include "bulrushstack/kernel/run_awaitable.h"
#include "memory_platform.h"
#include "sample_document.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Store with the sample document as revision 1.
struct StoreFixture {
    StoreFixture()
    {
        auto document = sampleDocument(1);
        auto change = makeChange("first", 0);
        for (const auto& [section, kind] : { std::pair("models", "model"), std::pair("services", "service"),
                 std::pair("templates", "template"), std::pair("teams", "team") }) {
            for (const auto& [name, value] : document[section].items())
                change.edits.push_back({ .kind = kind, .name = name, .value = value });
        }
        const auto outcome = apply(change);
        BOOST_REQUIRE((outcome.status == ChangeStatus::Accepted));
        BOOST_REQUIRE(outcome.revision == 1u);
    }

    static ConfigurationChange makeChange(std::string id, std::uint64_t base, std::vector<ConfigurationEdit> edits = {})
    {
        return { .changeId = std::move(id), .author = "ana", .baseRevision = base, .edits = std::move(edits) };
    }

    static ConfigurationEdit teamEdit(std::string name)
    {
        return { .kind = "team", .name = std::move(name), .value = nlohmann::json { { "template", "opera-house" } } };
    }

    static ConfigurationEdit templateEdit(unsigned share)
    {
        auto value = sampleDocument()["templates"]["opera-house"];
        value["share"] = share;
        return { .kind = "template", .name = "opera-house", .value = std::move(value) };
    }

    ChangeOutcome apply(ConfigurationChange change)
    {
        return runAwaitable(context, store.apply(std::move(change), clock.now() + 10s));
    }

    ConfigurationHead head() { return *runAwaitable(context, store.head(clock.now() + 1s)); }

    ConfigurationPtr fetch() { return *runAwaitable(context, store.fetch(head(), clock.now() + 1s)); }

    /// Injects the fault into the nth call of the operation, counted from 1.
    void injectFaultAtNthCall(std::string operation, int n, FakeFault fault)
    {
        tables.fault = [=, count = 0](std::string_view actual) mutable {
            return actual == operation && ++count == n ? fault : FakeFault::None;
        };
    }

    boost::asio::io_context context;
    ManualClock clock;
    MemoryTableService tables;
    MemoryObjectStore objects;
    ConfigurationStore store { tables, objects, clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Store, StoreFixture)

// Guards against an accepted change that cannot be read back, or whose record is incomplete.
BOOST_AUTO_TEST_CASE(KeepsAnAcceptedChangeWithItsRecord)
{
    BOOST_TEST(apply(makeChange("c2", 1, { teamEdit("split") })).revision == 2u);
    BOOST_TEST(fetch()->team("split")->models.size() == 2u);
    const auto record = *runAwaitable(context, store.findChange("c2", clock.now() + 1s));
    BOOST_REQUIRE(record);
    BOOST_TEST(record->revision == 2u);
    BOOST_TEST(record->author == "ana");
    BOOST_TEST(record->digest == head().digest);
    BOOST_TEST(record->acceptedAt == "2019-12-20T00:00:00Z");
    BOOST_TEST((record->objects == std::vector<std::pair<std::string, std::string>> { { "team", "split" } }));
    BOOST_TEST(!*runAwaitable(context, store.findChange("c3", clock.now() + 1s)));
    const auto history = *runAwaitable(context, store.history(1, clock.now() + 1s));
    BOOST_REQUIRE(history.size() == 1u);
    BOOST_TEST((history.front() == *record));
}

// Guards against a history in the wrong order or with missing records.
BOOST_AUTO_TEST_CASE(ReturnsTheNewestRecordsFirst)
{
    for (std::uint64_t revision = 2; revision <= 4; ++revision)
        BOOST_TEST(
            apply(makeChange("c" + std::to_string(revision), revision - 1, { templateEdit(1) })).revision == revision);
    const auto history = *runAwaitable(context, store.history(100, clock.now() + 1s));
    BOOST_REQUIRE(history.size() == 4u);
    BOOST_TEST(history.front().changeId == "c4");
    BOOST_TEST(history.back().changeId == "first");
}

// Guards against an endless loop when a record contains another revision than the key of its row.
BOOST_AUTO_TEST_CASE(RejectsRecordsInTheWrongRow)
{
    BOOST_TEST(apply(makeChange("c2", 1, { templateEdit(2) })).revision == 2u);
    auto row = *tables.find({ .table = "config", .key = "revision/000000000002" });
    row.value["revision"] = 1;
    Transaction transaction;
    transaction.writes = { { .id = row.id, .value = row.value } };
    tables.apply(transaction);
    BOOST_TEST((runAwaitable(context, store.history(100, clock.now() + 1s)).error().code == Errc::Malformed));
    BOOST_TEST((apply(makeChange("c3", 0, { teamEdit("split") })).status == ChangeStatus::Unavailable));
}

// Guards against changes that put an invalid document in force.
BOOST_AUTO_TEST_CASE(RejectsInvalidChanges)
{
    const auto deletion
        = apply(makeChange("c2", 1, { { .kind = "model", .name = "libretto-7b", .value = std::nullopt } }));
    BOOST_TEST((deletion.status == ChangeStatus::Invalid));
    BOOST_TEST(!deletion.errors.empty());
    const auto absent = apply(makeChange("c2", 1, { { .kind = "team", .name = "pula", .value = std::nullopt } }));
    BOOST_TEST(absent.errors.at(0).path == "/edits/0/name");
    auto malformed = makeChange("c 2", 1, { { .kind = "schema", .name = "x", .value = 1 } });
    malformed.author.clear();
    BOOST_TEST(apply(malformed).errors.size() == 3u);
    BOOST_TEST((apply(makeChange("c2", 7, { teamEdit("split") })).status == ChangeStatus::Invalid));
    BOOST_TEST(head().revision == 1u);
}

BOOST_AUTO_TEST_SUITE(ConcurrentEdits)

// Guards against a lost update, and against a conflict between operators who edit different objects.
BOOST_AUTO_TEST_CASE(AreMergedUnlessTheyEditTheSameObject)
{
    BOOST_TEST(apply(makeChange("c2", 1, { templateEdit(2) })).revision == 2u);
    BOOST_TEST(apply(makeChange("c3", 1, { teamEdit("split") })).revision == 3u);
    const auto outcome = apply(makeChange("c4", 1, { templateEdit(5) }));
    BOOST_TEST((outcome.status == ChangeStatus::Conflict));
    BOOST_REQUIRE(outcome.conflictingRecords.size() == 1u);
    BOOST_TEST(outcome.conflictingRecords[0].revision == 2u);
    BOOST_TEST(outcome.conflictingRecords[0].author == "ana");
    BOOST_TEST(fetch()->team("zagreb")->share == 2u);
    BOOST_TEST((fetch()->team("split") != nullptr));
}

// Guards against a change that overwrites another one that was committed after this one had read the head.
BOOST_AUTO_TEST_CASE(AreDetectedAtTheCommit)
{
    int commits = 0;
    ChangeOutcome other;
    tables.fault = [&](std::string_view operation) {
        if (operation == "commit" && ++commits == 1) {
            boost::asio::io_context inner;
            other = runAwaitable(inner, store.apply(makeChange("other", 1, { templateEdit(3) }), clock.now() + 10s));
        }
        return FakeFault::None;
    };
    const auto outcome = apply(makeChange("c2", 1, { templateEdit(2) }));
    BOOST_TEST(other.revision == 2u);
    BOOST_TEST((outcome.status == ChangeStatus::Conflict));
    BOOST_TEST(fetch()->team("zagreb")->share == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LostResponses)

// Guards against a change that is applied twice because the client sends it again.
BOOST_AUTO_TEST_CASE(AllowResendingAChangeUnderItsId)
{
    const auto change = makeChange("c2", 1, { templateEdit(2) });
    BOOST_TEST(apply(change).revision == 2u);
    BOOST_TEST(apply(makeChange("c3", 2, { templateEdit(3) })).revision == 3u);
    BOOST_TEST((apply(change).status == ChangeStatus::Accepted));
    BOOST_TEST(apply(change).revision == 2u);
    BOOST_TEST(head().revision == 3u);
    BOOST_TEST(fetch()->team("zagreb")->share == 3u);
}

// Guards against reporting success for a change that was not applied, when a client reuses the id of another change.
BOOST_AUTO_TEST_CASE(DoNotMatchAnotherChangeWithTheSameId)
{
    BOOST_TEST(apply(makeChange("c2", 1, { templateEdit(2) })).revision == 2u);
    const auto outcome = apply(makeChange("c2", 1, { templateEdit(9) }));
    BOOST_TEST((outcome.status == ChangeStatus::Invalid));
    BOOST_TEST(outcome.errors.at(0).path == "/change_id");
}

// Guards against a committed change that is reported as failed, or committed again, because the response was lost.
BOOST_AUTO_TEST_CASE(ToAnAppliedCommitReportAcceptance)
{
    injectFaultAtNthCall("commit", 1, FakeFault::LostResponse);
    const auto outcome = apply(makeChange("c2", 1, { templateEdit(2) }));
    BOOST_TEST((outcome.status == ChangeStatus::Accepted));
    BOOST_TEST(outcome.revision == 2u);
    BOOST_TEST(head().revision == 2u);
}

// Guards against a change that is abandoned because the request to commit it was lost.
BOOST_AUTO_TEST_CASE(ToADroppedCommitCauseARetry)
{
    injectFaultAtNthCall("commit", 1, FakeFault::LostRequest);
    BOOST_TEST(apply(makeChange("c2", 1, { templateEdit(2) })).revision == 2u);
    BOOST_TEST(tables.commits() == 2u);
}

// Guards against the verdict NotRun for a change that may be in force (guarantee G4 of the design document).
BOOST_AUTO_TEST_CASE(ThatCannotBeResolvedMayHaveRun)
{
    bool isDown = false;
    tables.fault = [&](std::string_view operation) {
        if (operation == "commit") {
            isDown = true;
            return FakeFault::LostResponse;
        }
        return isDown ? FakeFault::Unavailable : FakeFault::None;
    };
    const auto outcome = apply(makeChange("c2", 1, { templateEdit(2) }));
    BOOST_TEST((outcome.status == ChangeStatus::Unavailable));
    BOOST_TEST((outcome.failure.verdict == Verdict::MayHaveRun));
    tables.fault = nullptr;
    BOOST_TEST(apply(makeChange("c2", 1, { templateEdit(2) })).revision == 2u);
    BOOST_TEST(head().revision == 2u);
}

// Guards against an endless loop, and against the verdict NotRun while a delayed commit may still take effect.
BOOST_AUTO_TEST_CASE(ToEveryCommitEndAsMayHaveRun)
{
    tables.fault
        = [](std::string_view operation) { return operation == "commit" ? FakeFault::LostRequest : FakeFault::None; };
    const auto outcome = apply(makeChange("c2", 1, { templateEdit(2) }));
    BOOST_TEST((outcome.status == ChangeStatus::Unavailable));
    BOOST_TEST((outcome.failure.verdict == Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Outages)

// Guards against the verdict MayHaveRun for a change that was certainly not committed.
BOOST_AUTO_TEST_CASE(BeforeTheCommitAreNotRun)
{
    for (const char* operation : { "read", "list", "commit" }) {
        tables.fault
            = [&](std::string_view actual) { return actual == operation ? FakeFault::Unavailable : FakeFault::None; };
        const auto outcome = apply(makeChange("c2", 0, { teamEdit("split") }));
        BOOST_TEST((outcome.status == ChangeStatus::Unavailable), operation);
        BOOST_TEST((outcome.failure.verdict == Verdict::NotRun), operation);
    }
    tables.fault = nullptr;
    objects.isAvailable = false;
    const auto outcome = apply(makeChange("c2", 1, { teamEdit("split") }));
    BOOST_TEST((outcome.failure.verdict == Verdict::NotRun));
    BOOST_TEST(head().revision == 1u);
}

// Guards against a document that was corrupted or replaced in the object store.
BOOST_AUTO_TEST_CASE(DoNotAdmitAMismatchedDocument)
{
    auto named = head();
    named.revision = 9;
    BOOST_TEST((runAwaitable(context, store.fetch(named, clock.now() + 1s)).error().code == Errc::Malformed));
    named.digest = *runAwaitable(context, objects.put("{}", clock.now() + 1s));
    BOOST_TEST((runAwaitable(context, store.fetch(named, clock.now() + 1s)).error().code == Errc::InvalidArgument));
    named.digest = sha256Hex("absent");
    BOOST_TEST((runAwaitable(context, store.fetch(named, clock.now() + 1s)).error().code == Errc::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
