#include "front_test_support.h"
#include "unframed_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const std::string streamHead
    = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
const std::string plainHead = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\n\r\nfirst ";
const std::string lastEvent = "id: 2\ndata: b\n\n";
const std::string lastPart = "second";

/// What an upstream does before its responses end.
enum class Upstream {
    Ready,
    Leaving, ///< it has announced that it leaves, and has closed its listening socket
    LeavingWithoutIdle, ///< it has closed its idle connections as well
};

/// Requests of one kind that one upstream answers with responses without length or chunks.
struct ResponseEndFixture : FrontFixture {
    explicit ResponseEndFixture(std::string target)
        : path(std::move(target))
        , isStream(path != "/read/x" && path != "/once/x")
        , upstream(context, isStream ? streamHead : plainHead)
    {
        state.directory().apply(
            { .id = "u1", .service = "s", .address = upstream.address(), .zone = "z", .slots = 64, .startedAt = 1 });
    }

    /// Sends requests one after the other, over more than 100 ms, and waits until their responses have begun.
    void begin(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            if (i > 0)
                runFor(120ms / (n - 1));
            boost::asio::co_spawn(context, request(), boost::asio::detached);
            const auto limit = clock.now() + 5s;
            while (upstream.responsesInProgress() <= i && clock.now() < limit)
                runFor(2ms);
        }
        BOOST_REQUIRE_EQUAL(upstream.responsesInProgress(), n);
        // The idle connection must be established before the upstream changes.
        const auto limit = clock.now() + 5s;
        while (upstream.connections() <= n && clock.now() < limit)
            runFor(2ms);
        runFor(20ms);
    }

    void become(Upstream condition)
    {
        if (condition == Upstream::Ready)
            return;
        state.directory().recordLeaving("u1", 1);
        upstream.stopListening();
        if (condition == Upstream::LeavingWithoutIdle)
            upstream.closeIdle();
        runFor(50ms);
    }

    void endResponses(std::chrono::milliseconds interval)
    {
        boost::asio::co_spawn(
            context, upstream.endResponses(isStream ? lastEvent : lastPart, interval), boost::asio::detached);
    }

    boost::asio::awaitable<void> request()
    {
        HttpRequest request { .method = "POST", .target = path, .headers = { { "X-Id", "7" } } };
        const Address address { .host = "127.0.0.1", .port = server.port() };
        const auto response
            = co_await client.call(address, std::move(request), { .deadline = clock.now() + std::chrono::seconds(10) });
        const std::string whole = isStream ? streamHead.substr(streamHead.find("id: ")) + lastEvent : "first second";
        ++answered;
        completed += response && response->status == 200 ? 1 : 0;
        wholes += response && response->body == whole ? 1 : 0;
    }

    void waitForAnswers(std::size_t n)
    {
        const auto limit = clock.now() + 5s;
        while (answered < n && clock.now() < limit)
            runFor(5ms);
        BOOST_REQUIRE_EQUAL(answered, n);
    }

    std::string path;
    bool isStream;
    UnframedServer upstream;
    std::size_t answered = 0;
    std::size_t completed = 0; ///< responses that their callers got as complete
    std::size_t wholes = 0;
};

const std::vector<std::string> paths { "/events/x", "/read/x", "/once/x" };
const std::vector<std::size_t> counts { 1, 2, 3, 4, 16 };

} // namespace

BOOST_AUTO_TEST_SUITE(ResponsesThatEndWithTheirConnections)

BOOST_AUTO_TEST_SUITE(AreWholeIfTheirProcessOutlivesThem)

void checkThatAllAreWhole(Upstream condition, std::chrono::milliseconds interval)
{
    for (const auto& path : paths) {
        for (const std::size_t n : counts) {
            ResponseEndFixture front(path);
            front.begin(n);
            front.become(condition);
            front.endResponses(interval);
            front.waitForAnswers(n);
            BOOST_TEST(front.wholes == n, path << ": " << front.wholes << " of " << n << " are whole");
            BOOST_TEST(front.state.crashSuspects().crashes().empty());
        }
    }
}

// Guards against streams and answers of a batch that are cut since they end together.
BOOST_AUTO_TEST_CASE(InOneMoment) { checkThatAllAreWhole(Upstream::Ready, 0ms); }

BOOST_AUTO_TEST_CASE(OneAfterTheOther) { checkThatAllAreWhole(Upstream::Ready, 4ms); }

// Guards against the same for an upstream that finishes its requests after it has closed its listening socket.
BOOST_AUTO_TEST_CASE(InOneMomentWhileItLeaves) { checkThatAllAreWhole(Upstream::Leaving, 0ms); }

BOOST_AUTO_TEST_CASE(OneAfterTheOtherWhileItLeaves) { checkThatAllAreWhole(Upstream::Leaving, 4ms); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AreNotCompleteIfTheirProcessEndsWithThem)

void checkThatNoneIsComplete(Upstream condition)
{
    for (const auto& path : paths) {
        for (const std::size_t n : counts) {
            ResponseEndFixture front(path);
            front.begin(n);
            front.become(condition);
            front.upstream.kill();
            front.waitForAnswers(n);
            BOOST_TEST(front.completed == 0U, path << ": " << front.completed << " of " << n << " look complete");
        }
    }
}

BOOST_AUTO_TEST_CASE(WhileItIsReady) { checkThatNoneIsComplete(Upstream::Ready); }

// Guards against a part of a response that its caller gets as a whole one since its upstream was leaving.
BOOST_AUTO_TEST_CASE(WhileItLeaves) { checkThatNoneIsComplete(Upstream::Leaving); }

BOOST_AUTO_TEST_CASE(WhileItLeavesAndHasClosedItsIdleConnections)
{
    checkThatNoneIsComplete(Upstream::LeavingWithoutIdle);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against requests that pay for a connection each.
BOOST_AUTO_TEST_CASE(ShareOneIdleConnection)
{
    ResponseEndFixture front("/events/x");
    front.begin(4);
    front.endResponses(0ms);
    front.waitForAnswers(4);
    BOOST_TEST(front.upstream.connections() == 5U);
    front.begin(1);
    BOOST_TEST(front.upstream.connections() <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
