#include "table_follower.h"

#include "bulrushstack/kernel/run_awaitable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const Failure storeUnavailable { .code = Errc::Unavailable };
const Failure historyTruncated { .code = Errc::NotFound };

/// Returns scripted results and stops the follower after the last one.
class ScriptedFeed final : public TableFeed {
public:
    std::deque<Result<TableSnapshot>> snapshots;
    std::deque<Result<TableChanges>> changeResults;
    std::vector<std::chrono::milliseconds> requestedWaits;
    std::vector<RowVersion> requestedVersions;
    TableFollower* follower = nullptr;

    boost::asio::awaitable<Result<TableSnapshot>> snapshot(std::string, TableReadTimeouts) override
    {
        auto out = std::move(snapshots.front());
        snapshots.pop_front();
        co_return out;
    }

    boost::asio::awaitable<Result<TableChanges>> changes(
        std::string, RowVersion after, std::chrono::milliseconds wait, TableReadTimeouts) override
    {
        requestedVersions.push_back(after);
        requestedWaits.push_back(wait);
        if (changeResults.empty()) {
            follower->stop();
            co_return TableChanges { .version = after };
        }
        auto out = std::move(changeResults.front());
        changeResults.pop_front();
        co_return out;
    }
};

class Recorder final : public TableObserver {
public:
    std::vector<std::string> recorded;
    std::vector<SteadyTime> readsBegan;
    std::function<void()> onChange;

    void onSnapshot(const TableSnapshot& snapshot) override
    {
        recorded.push_back("snapshot " + std::to_string(snapshot.version));
    }
    void onChanges(const TableChanges& changes) override
    {
        recorded.push_back("changes " + std::to_string(changes.version));
        if (onChange)
            onChange();
    }
    void onStoreLost(const Failure&) override { recorded.push_back("lost"); }
    void onOutageReported() override { recorded.push_back("outage"); }
    void onRead(SteadyTime startedAt) override { readsBegan.push_back(startedAt); }
    void onStoreRegained() override
    {
        if (recorded.empty() || recorded.back() != "regained")
            recorded.push_back("regained");
    }
};

struct Fixture {
    boost::asio::io_context context;
    SystemClock clock;
    ScriptedFeed feed;
    Recorder recorder;
    TableFollower follower { context, clock, feed, { .table = "t", .longPollTime = 4s }, recorder };

    std::vector<std::string> run()
    {
        feed.follower = &follower;
        runAwaitable(context, follower.run());
        return recorder.recorded;
    }
};

TableChanges changesTo(RowVersion version) { return { .rows = { Row { .version = version } }, .version = version }; }

} // namespace

BOOST_FIXTURE_TEST_SUITE(TableFollowerTests, Fixture)

BOOST_AUTO_TEST_CASE(ReadsASnapshotThenChanges)
{
    feed.snapshots = { TableSnapshot { .version = 5 } };
    feed.changeResults = { changesTo(7), TableChanges { .version = 8 } };
    const std::vector<std::string> expected { "snapshot 5", "changes 7" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
    BOOST_TEST(feed.requestedVersions.back() == 8u);
}

BOOST_AUTO_TEST_CASE(ReadsANewSnapshotWhenTheHistoryIsTruncated)
{
    feed.snapshots = { TableSnapshot { .version = 5 }, TableSnapshot { .version = 90 } };
    feed.changeResults = { historyTruncated };
    const std::vector<std::string> expected { "snapshot 5", "snapshot 90" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
}

// Guards against data that count as newer than they are, since they were requested before an event and arrive after it.
BOOST_AUTO_TEST_CASE(TellsWhenEachSuccessfulReadBegan)
{
    feed.snapshots = { TableSnapshot { .version = 5 } };
    feed.changeResults = { storeUnavailable, changesTo(7), TableChanges { .version = 8 } };
    const auto before = clock.now();
    run();
    BOOST_REQUIRE(recorder.readsBegan.size() == 4u); // the last one ends the test
    BOOST_TEST((recorder.readsBegan.front() >= before));
    BOOST_TEST(std::is_sorted(recorder.readsBegan.begin(), recorder.readsBegan.end()));
    BOOST_TEST((recorder.readsBegan.back() <= clock.now()));
}

// Guards against rows that expired in an outage of the store being taken as gone by an instance that reads the table
// from another one and has not noticed the outage.
BOOST_AUTO_TEST_CASE(ReportsAnOutageOfTheSourceBeforeItsRows)
{
    feed.snapshots = { TableSnapshot { .version = 5, .isAfterOutage = true } };
    feed.changeResults = { TableChanges { .rows = { Row { .version = 7 } }, .version = 7, .isAfterOutage = true } };
    const std::vector<std::string> expected { "outage", "snapshot 5", "outage", "changes 7" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
}

// Guards against an instance that starts to pass a table on without its content.
BOOST_AUTO_TEST_CASE(ReadsASnapshotWhenAskedTo)
{
    feed.snapshots = { TableSnapshot { .version = 5 }, TableSnapshot { .version = 6 } };
    feed.changeResults = { changesTo(6) };
    recorder.onChange = [this] { follower.resynchronize(); };
    const std::vector<std::string> expected { "snapshot 5", "changes 6", "snapshot 6" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
}

// Guards against a call that hangs beyond the recovery of a store that had stopped responding.
BOOST_AUTO_TEST_CASE(PollsWithoutWaitingDuringAStoreOutage)
{
    feed.snapshots = { TableSnapshot { .version = 5 } };
    feed.changeResults = { storeUnavailable, storeUnavailable, changesTo(6) };
    const std::vector<std::string> expected { "snapshot 5", "lost", "regained", "changes 6", "regained" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
    const std::vector<std::chrono::milliseconds> requestedWaits { 4s, 0s, 0s, 4s };
    BOOST_CHECK(feed.requestedWaits == requestedWaits);
}

BOOST_AUTO_TEST_CASE(StartsDuringAStoreOutage)
{
    feed.snapshots = { storeUnavailable, TableSnapshot { .version = 3 } };
    const std::vector<std::string> expected { "lost", "regained", "snapshot 3", "regained" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
