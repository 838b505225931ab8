#include "bulrushstack/relay/table_log.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace bulrushstack;

namespace {

Row row(const std::string& key, RowVersion version, int value)
{
    return { .id = { .table = "t", .key = key }, .version = version, .value = value };
}

Row removed(const std::string& key) { return { .id = { .table = "t", .key = key } }; }

std::vector<std::string> keysOf(const TableChanges& changes)
{
    std::vector<std::string> out;
    for (const auto& it : changes.rows)
        out.push_back((it.version == 0 ? "-" : "+") + it.id.key);
    return out;
}

/// Content of a table as an instance knows it.
struct Content {
    std::map<std::string, int> values;
    RowVersion version = 0;

    void apply(const TableChanges& changes)
    {
        for (const auto& it : changes.rows) {
            if (it.version == 0)
                values.erase(it.id.key);
            else
                values[it.id.key] = it.value.get<int>();
        }
        version = std::max(version, changes.version);
    }

    void apply(const TableSnapshot& snapshot)
    {
        values.clear();
        for (const auto& it : snapshot.rows)
            values[it.id.key] = it.value.get<int>();
        version = snapshot.version;
    }
};

/// A store that remembers every change, so that it can bring a log up to any version.
struct History {
    struct Change {
        RowVersion version = 0;
        std::string key;
        std::optional<int> value;
        bool isHeartbeat = false; ///< whether the row got a new version but no new value
    };

    std::vector<Change> changes;

    RowVersion version() const { return changes.empty() ? 0 : changes.back().version; }

    TableSnapshot snapshotAt(RowVersion version) const
    {
        std::map<std::string, Row> rows;
        for (const auto& it : changes) {
            if (it.version > version)
                break;
            if (it.value)
                rows[it.key] = row(it.key, it.version, *it.value);
            else
                rows.erase(it.key);
        }
        TableSnapshot out { .version = version };
        for (auto& [key, value] : rows)
            out.rows.push_back(value);
        return out;
    }

    /// Brings a log that follows this store up to the version.
    void feed(TableLog& log, RowVersion version) const
    {
        const auto known = log.version();
        for (const auto& it : changes) {
            if (it.version <= known || it.version > version)
                continue;
            if (!it.isHeartbeat)
                log.record(it.value ? row(it.key, it.version, *it.value) : removed(it.key), version);
        }
        log.advance(version);
    }
};

void mutate(History& history, std::mt19937& random)
{
    const std::string key(1, static_cast<char>('a' + random() % 6));
    std::optional<int> current;
    for (const auto& it : history.changes) {
        if (it.key == key)
            current = it.value;
    }
    History::Change change { .version = history.version() + 1 + random() % 3, .key = key };
    const auto kind = random() % 4;
    if (kind == 0 && current)
        change.value = std::nullopt;
    else if (kind == 1 && current) {
        change.value = current;
        change.isHeartbeat = true;
    } else
        change.value = static_cast<int>(random() % 100);
    history.changes.push_back(change);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableLogs)

BOOST_AUTO_TEST_CASE(WithoutContentHaveNoChangesToOffer)
{
    TableLog log;
    BOOST_TEST(!log.changesAfter(0).has_value());
    BOOST_TEST(log.hasChangesAfter(0));
}

BOOST_AUTO_TEST_SUITE(AfterASnapshot)

BOOST_AUTO_TEST_CASE(ReturnWhatChangedSinceAVersion)
{
    TableLog log;
    log.reset({ .rows = { row("a", 3, 1), row("b", 7, 2) }, .version = 10 });
    log.record(row("b", 12, 3), 13);
    log.record(removed("a"), 15);
    const auto changes = log.changesAfter(10);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST((keysOf(*changes) == std::vector<std::string> { "+b", "-a" }));
    BOOST_TEST(changes->version == 15u);
    BOOST_TEST(keysOf(*log.changesAfter(13)).size() == 1u);
    BOOST_TEST(log.snapshot().rows.size() == 1u);
}

// Guards against sending whole tables to instances because of heartbeats that change nothing for them.
BOOST_AUTO_TEST_CASE(OfferNothingForHeartbeats)
{
    TableLog log;
    log.reset({ .rows = { row("a", 3, 1) }, .version = 10 });
    log.advance(40);
    BOOST_TEST(!log.hasChangesAfter(10));
    BOOST_TEST(log.changesAfter(10)->rows.empty());
    BOOST_TEST(log.changesAfter(10)->version == 40u);
}

// Guards against rows that stay in use elsewhere because their removal lies before the beginning of this log.
BOOST_AUTO_TEST_CASE(RefuseVersionsBeforeTheirHistory)
{
    TableLog log;
    log.reset({ .rows = {}, .version = 10 });
    BOOST_TEST(!log.changesAfter(9).has_value());
    BOOST_TEST(log.changesAfter(10).has_value());
    for (int i = 0; i < 600; ++i)
        log.record(removed("k" + std::to_string(i)), 100 + static_cast<RowVersion>(i));
    BOOST_TEST(!log.changesAfter(100).has_value());
    BOOST_TEST(log.changesAfter(300).has_value());
}

// A row that is not valid JSON names nothing that can be used.
BOOST_AUTO_TEST_CASE(TreatUnreadableRowsAsRemoved)
{
    TableLog log;
    log.reset({ .rows = { row("a", 3, 1) }, .version = 10 });
    auto unreadable = row("a", 12, 0);
    unreadable.value = nlohmann::json(nlohmann::json::value_t::discarded);
    log.record(unreadable, 12);
    BOOST_TEST((keysOf(*log.changesAfter(10)) == std::vector<std::string> { "-a" }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against instances that miss or undo a change when they move between logs that lag behind by different amounts,
// and the store: 2,000 random histories, in each of which a reader hops between two logs and the store.
BOOST_AUTO_TEST_CASE(BringEveryReaderToTheStateOfTheStore)
{
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        std::mt19937 random(seed);
        History history;
        for (int i = 0; i < 5; ++i)
            mutate(history, random);
        TableLog logs[2];
        Content content;
        content.apply(history.snapshotAt(history.version()));
        for (int step = 0; step < 40; ++step) {
            for (auto n = random() % 3; n > 0; --n)
                mutate(history, random);
            auto& log = logs[random() % 2];
            if (!log.hasContent() || random() % 20 == 0)
                log.reset(history.snapshotAt(history.version()));
            else if (random() % 2 == 0)
                history.feed(log, history.version());
            const auto& source = logs[random() % 2];
            if (!source.hasContent())
                continue;
            if (auto changes = source.changesAfter(content.version))
                content.apply(*changes);
            else if (source.version() >= content.version)
                content.apply(source.snapshot());
        }
        history.feed(logs[0], history.version());
        if (!logs[0].hasContent())
            logs[0].reset(history.snapshotAt(history.version()));
        if (auto changes = logs[0].changesAfter(content.version))
            content.apply(*changes);
        else
            content.apply(logs[0].snapshot());
        Content expected;
        expected.apply(history.snapshotAt(history.version()));
        BOOST_REQUIRE_MESSAGE(content.values == expected.values, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
