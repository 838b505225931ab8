#include "table_follower.h"

#include "bulrushstack/kernel/run_awaitable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const Failure storeAway { .code = Errc::Unavailable };
const Failure historyGone { .code = Errc::NotFound };

/// Answers calls from a script; stops the follower when the script ends.
class ScriptedFeed final : public TableFeed {
public:
    std::deque<Result<TableSnapshot>> snapshots;
    std::deque<Result<TableChanges>> answers;
    std::vector<std::chrono::milliseconds> waits;
    std::vector<RowVersion> afters;
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
        afters.push_back(after);
        waits.push_back(wait);
        if (answers.empty()) {
            follower->stop();
            co_return TableChanges { .version = after };
        }
        auto out = std::move(answers.front());
        answers.pop_front();
        co_return out;
    }
};

class Recorder final : public TableObserver {
public:
    std::vector<std::string> seen;

    void onSnapshot(const TableSnapshot& snapshot) override
    {
        seen.push_back("snapshot " + std::to_string(snapshot.version));
    }
    void onChanges(const TableChanges& changes) override
    {
        seen.push_back("changes " + std::to_string(changes.version));
    }
    void onStoreLost(const Failure&) override { seen.push_back("lost"); }
    void onStoreRegained() override
    {
        if (seen.empty() || seen.back() != "regained")
            seen.push_back("regained");
    }
};

struct Fixture {
    boost::asio::io_context context;
    SystemClock clock;
    ScriptedFeed feed;
    Recorder recorder;
    TableFollower follower { context, clock, feed, { .table = "t", .wait = 4s }, recorder };

    std::vector<std::string> run()
    {
        feed.follower = &follower;
        runAwaitable(context, follower.run());
        return recorder.seen;
    }
};

TableChanges changesTo(RowVersion version) { return { .rows = { Row { .version = version } }, .version = version }; }

} // namespace

BOOST_FIXTURE_TEST_SUITE(ATableFollower, Fixture)

BOOST_AUTO_TEST_CASE(ReadsTheTableAndThenItsChanges)
{
    feed.snapshots = { TableSnapshot { .version = 5 } };
    feed.answers = { changesTo(7), TableChanges { .version = 8 } };
    const std::vector<std::string> expected { "snapshot 5", "changes 7" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
    BOOST_TEST(feed.afters.back() == 8u);
}

BOOST_AUTO_TEST_CASE(ReadsTheTableAgainWhenTheHistoryIsGone)
{
    feed.snapshots = { TableSnapshot { .version = 5 }, TableSnapshot { .version = 90 } };
    feed.answers = { historyGone };
    const std::vector<std::string> expected { "snapshot 5", "snapshot 90" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
}

// Guards against a call that hangs beyond the return of a store that had stopped answering.
BOOST_AUTO_TEST_CASE(AsksWithoutWaitingWhileTheStoreIsAway)
{
    feed.snapshots = { TableSnapshot { .version = 5 } };
    feed.answers = { storeAway, storeAway, changesTo(6) };
    const std::vector<std::string> expected { "snapshot 5", "lost", "regained", "changes 6", "regained" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
    const std::vector<std::chrono::milliseconds> waits { 4s, 0s, 0s, 4s };
    BOOST_CHECK(feed.waits == waits);
}

BOOST_AUTO_TEST_CASE(StartsWhileTheStoreIsAway)
{
    feed.snapshots = { storeAway, TableSnapshot { .version = 3 } };
    const std::vector<std::string> expected { "lost", "regained", "snapshot 3", "regained" };
    BOOST_TEST(run() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
