#include "bulrushstack/relay/store_relay.h"

#include "bulrushstack/kernel/run_awaitable.h"
#include "loopback.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const Failure unavailable { .code = Errc::Unavailable };

/// A store whose answers and delay are set by the test.
class FakeStore final : public TableFeed {
public:
    explicit FakeStore(ManualClock& clock)
        : m_clock(clock)
    {
    }

    boost::asio::awaitable<Result<TableSnapshot>> snapshot(std::string, TableReadTimeouts) override
    {
        ++reads;
        if (!isAvailable)
            co_return unavailable;
        co_return TableSnapshot { .rows = rows, .version = version };
    }

    boost::asio::awaitable<Result<TableChanges>> changes(
        std::string, RowVersion, std::chrono::milliseconds, TableReadTimeouts) override
    {
        ++reads;
        m_clock.suspend(answerDelay);
        if (!isAvailable)
            co_return unavailable;
        co_return TableChanges { .rows = rows, .version = version };
    }

    std::vector<Row> rows;
    RowVersion version = 10;
    bool isAvailable = true;
    std::chrono::nanoseconds answerDelay {};
    int reads = 0;

private:
    ManualClock& m_clock;
};

/// An instance with its relay, which other instances reach on a loopback port.
struct Instance final : HttpHandler {
    Instance(boost::asio::io_context& context, ManualClock& clock, HttpClient& client, const std::string& name)
        : store(clock)
        , relay(context, client, clock, { .self = { .instance = name, .zone = "z" }, .randomSeed = 1 }, store)
        , server(context, loopbackOptions(), *this)
    {
        if (auto ec = server.start())
            throw std::system_error(ec);
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        ++requests;
        if (onRequest)
            onRequest();
        auto response = co_await relay.tables().handle(exchange.request());
        co_await exchange.respond(std::move(response));
    }

    StoreReader reader() { return { relay.self().instance, { .host = "127.0.0.1", .port = server.port() } }; }

    FakeStore store;
    StoreRelay relay;
    HttpServer server;
    int requests = 0;
    std::function<void()> onRequest;
};

Row row(const std::string& key, RowVersion version)
{
    return { .id = { .table = "t", .key = key }, .version = version, .value = version };
}

struct Fixture {
    Fixture()
    {
        for (auto* it : { &first, &second }) {
            it->store.rows = { row("a", 4) };
            read(*it);
        }
        setReaders();
    }

    void setReaders()
    {
        for (auto* it : { &first, &second, &child }) {
            it->relay.setReaders({ first.reader(), second.reader() });
            if (it != &child)
                it->relay.tables().recordSnapshot("t", { .rows = it->store.rows, .version = it->store.version });
        }
        preferred = child.relay.selector().choose()->instance == "first" ? &first : &second;
        other = preferred == &first ? &second : &first;
    }

    /// Lets an instance read the store, or a reader.
    Result<TableChanges> read(Instance& instance, RowVersion after = 10)
    {
        return runAwaitable(context, instance.relay.feed().changes("t", after, 0ms, {}));
    }

    boost::asio::io_context context;
    ManualClock clock;
    HttpClient client { context, clock };
    Instance first { context, clock, client, "first" };
    Instance second { context, clock, client, "second" };
    Instance child { context, clock, client, "child" };
    Instance* preferred = nullptr;
    Instance* other = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TablesOfTheStore, Fixture)

BOOST_AUTO_TEST_CASE(AreReadThroughAReader)
{
    preferred->relay.tables().recordRow("t", row("b", 12), 12);
    auto changes = read(child);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->rows.size() == 1u);
    BOOST_TEST(changes->version == 12u);
    BOOST_TEST(child.store.reads == 0);
    BOOST_TEST(child.relay.feed().isRelayed());
    auto snapshot = runAwaitable(context, child.relay.feed().snapshot("t", {}));
    BOOST_TEST(snapshot->rows.size() == 2u);
}

BOOST_AUTO_TEST_CASE(AreReadFromTheStoreByReaders)
{
    BOOST_TEST(read(*preferred).has_value());
    BOOST_TEST(preferred->store.reads == 2);
    BOOST_TEST(other->requests == 0);
}

// Guards against an older version of a table replacing the one that is already known.
BOOST_AUTO_TEST_CASE(DoNotGoBackAtAReaderThatIsBehind)
{
    auto changes = read(child, 90);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->rows.empty());
    BOOST_TEST(changes->version == 90u);
}

BOOST_AUTO_TEST_SUITE(WhenTheReaderFails)

// Guards against instances that know nothing new because their reader is cut off from the store, and does not say so.
BOOST_AUTO_TEST_CASE(AreReadFromTheOtherReaderIfTheFirstIsCutOffFromTheStore)
{
    clock.advance(1s);
    read(*other);
    clock.advance(900ms);
    other->relay.tables().recordRow("t", row("b", 12), 12);
    auto changes = read(child);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->rows.size() == 1u);
    BOOST_TEST(preferred->requests == 1);
    BOOST_TEST(child.store.reads == 0);
}

// Guards against a belief that is taken for new because the reader that holds it has just woken up: the answer of the
// store had waited in its socket while the machine was suspended.
BOOST_AUTO_TEST_CASE(AreNotTakenFromAReaderThatWakesWithOldKnowledge)
{
    preferred->store.answerDelay = 6s;
    read(*preferred);
    BOOST_TEST(read(child).has_value());
    BOOST_TEST(!child.relay.feed().isRelayed());
}

// Guards against the same on the side of the instance that asked.
BOOST_AUTO_TEST_CASE(AreNotTakenFromAnAnswerThatWaitedWhileThisInstanceWasSuspended)
{
    preferred->onRequest = [this] { clock.suspend(6s); };
    other->onRequest = preferred->onRequest;
    BOOST_TEST(read(child).has_value());
    BOOST_TEST(!child.relay.feed().isRelayed());
    BOOST_TEST(child.store.reads == 1);
}

BOOST_AUTO_TEST_CASE(AreReadFromTheStoreIfNoReaderAnswers)
{
    first.relay.setReaders({});
    second.relay.setReaders({});
    child.store.rows = { row("c", 14) };
    auto changes = read(child);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->rows.front().id.key == "c");
    BOOST_TEST(child.store.reads == 1);
}

BOOST_AUTO_TEST_CASE(AreReadWholeIfTheHistoryOfTheReaderIsTooShort)
{
    auto changes = read(child, 3);
    BOOST_REQUIRE(changes.has_error());
    BOOST_TEST((changes.error().code == Errc::NotFound));
    BOOST_TEST(child.store.reads == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InAnOutageOfTheStore)

// Guards against instances that drop upstreams whose entries expired in an outage which only the readers noticed.
BOOST_AUTO_TEST_CASE(AreMarkedForAWhile)
{
    preferred->relay.tables().recordStoreLost();
    BOOST_TEST(read(child)->isAfterOutage);
    preferred->relay.tables().recordStoreRegained();
    BOOST_TEST(read(child)->isAfterOutage);
    clock.advance(2s);
    read(*preferred);
    BOOST_TEST(!read(child)->isAfterOutage);
}

// Guards against a flood of calls by hundreds of instances to a store that is down.
BOOST_AUTO_TEST_CASE(CauseFewCallsOfTheOtherInstances)
{
    for (auto* it : { &first, &second, &child })
        it->store.isAvailable = false;
    clock.advance(2s);
    for (int i = 0; i < 60; ++i) {
        BOOST_TEST(read(child).has_error());
        clock.advance(100ms);
    }
    BOOST_TEST(child.store.reads <= 6);
}

// Guards against a reader that the store turns away while it serves the other instances.
BOOST_AUTO_TEST_CASE(ThatHitsOnlyTheReadersAreReadDirectly)
{
    for (auto* it : { &first, &second })
        it->store.isAvailable = false;
    clock.advance(2s);
    child.store.rows = { row("c", 14) };
    BOOST_TEST(read(child).has_value());
    BOOST_TEST(read(child).has_value());
    BOOST_TEST(child.store.reads == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
