#include "front_test_support.h"
#include "unframed_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string partOfSecondEvent = "id: 2\nda";
const std::string closeDelimitedHead = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\n\r\n";

/// Sends the rest of a response some time after its head.
const RawServerPace paceOfLateEnd { .pieceSize = closeDelimitedHead.size(), .pause = 300ms };

struct TruncationFixture : FrontFixture {
    /// Adds an upstream that sends these bytes and is gone then.
    void addCrashingUpstream(const std::string& response, RawServerPace pace = {})
    {
        addUpstream({ response }, true, pace).stopListeningAfterFirstConnection();
    }

    void runLater(std::chrono::milliseconds delay, std::function<void()> change)
    {
        timer.expires_after(delay);
        timer.async_wait([change = std::move(change)](boost::system::error_code) { change(); });
    }

    /// Runs `change` some time after the front has established another connection beside that of a request.
    void runOnceWatched(const UnframedServer& upstream, std::function<void()> change)
    {
        runLater(20ms, [this, &upstream, change = std::move(change)] {
            if (upstream.connections() > 1)
                change();
            else
                runOnceWatched(upstream, change);
        });
    }

    /// Has the upstream send the rest of its response some time after the request has arrived.
    void endLater(UnframedServer& upstream)
    {
        runLater(
            200ms, [&] { boost::asio::co_spawn(context, upstream.endResponses("whole", 0ms), boost::asio::detached); });
    }

    boost::asio::steady_timer timer { context };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TruncatedResponses, TruncationFixture)

BOOST_AUTO_TEST_SUITE(BodyEndsWithItsConnection)

BOOST_AUTO_TEST_CASE(IsCompleteAfterAWholeEvent)
{
    addUpstream({ closeDelimitedStreamHead + firstEvent + secondEvent }, true);
    BOOST_TEST(call("/events/x")->body == firstEvent + secondEvent);
}

// Guards against a stream that is truncated inside an event and that its caller receives as complete.
BOOST_AUTO_TEST_CASE(IsCutInsideAnEvent)
{
    addUpstream({ closeDelimitedStreamHead + firstEvent + partOfSecondEvent }, true);
    BOOST_TEST(call("/events/x").has_error());
}

// Guards against an empty stream that looks complete because its upstream crashed before the first event.
BOOST_AUTO_TEST_CASE(IsAFailureWithoutAnyEvent)
{
    addUpstream({ closeDelimitedStreamHead }, true);
    BOOST_TEST(call("/events/x")->status == 502u);
}

// Guards against a lost rest of a stream that another upstream could have continued.
BOOST_AUTO_TEST_CASE(IsResumedOnAnotherUpstreamAfterACutInsideAnEvent)
{
    addUpstream({ closeDelimitedStreamHead + firstEvent + partOfSecondEvent }, true);
    addUpstream({ closeDelimitedStreamHead + secondEvent }, true);
    BOOST_TEST(call("/resumable/x")->body == firstEvent + secondEvent);
    BOOST_REQUIRE(!upstreams[1]->received().empty());
    BOOST_TEST(upstreams[1]->received().front().find("X-After: 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE(OfAnUpstreamThatHasCrashed)

// Guards against a stream that its caller gets as complete although its upstream crashed between two events.
BOOST_AUTO_TEST_CASE(IsCutBetweenTwoEvents)
{
    addCrashingUpstream(closeDelimitedStreamHead + firstEvent);
    BOOST_TEST(call("/events/x").has_error());
}

// Guards against a lost rest of such a stream that another upstream could have continued.
BOOST_AUTO_TEST_CASE(IsResumedOnAnotherUpstream)
{
    addCrashingUpstream(closeDelimitedStreamHead + firstEvent);
    addUpstream({ closeDelimitedStreamHead + secondEvent }, true);
    BOOST_TEST(call("/resumable/x")->body == firstEvent + secondEvent);
}

// Guards against a part of a body that the caller gets as a complete answer.
BOOST_AUTO_TEST_CASE(IsNoAnswer)
{
    addCrashingUpstream(closeDelimitedHead + "who");
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_CASE(IsReplacedByTheAnswerOfAnotherUpstream)
{
    addCrashingUpstream(closeDelimitedHead + "who");
    addUpstream({ okResponse });
    BOOST_TEST(call("/read/x")->body == "whole");
}

// Guards against the end of a process that is taken for that of its response, since another process has its address.
BOOST_AUTO_TEST_CASE(IsNoAnswerOfAProcessThatWasReplaced)
{
    addUpstream({ closeDelimitedHead + "who" }, true, paceOfLateEnd);
    runLater(100ms, [&] {
        auto entry = *state.directory().find("u1");
        entry.startedAt = 2;
        state.directory().apply(entry);
    });
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAnUpstreamThatRuns)

BOOST_AUTO_TEST_CASE(IsAnAnswerAfterOneLook)
{
    UnframedServer upstream(context, closeDelimitedHead);
    listUpstream(upstream.address());
    endLater(upstream);
    BOOST_TEST(call("/once/x")->body == "whole");
    BOOST_TEST(upstream.connections() == 2u);
}

BOOST_AUTO_TEST_CASE(IsAnAnswerAfterTwoLooksIfItClosesUnusedConnections)
{
    addUpstream({ closeDelimitedHead + "whole" }, true);
    BOOST_TEST(call("/once/x")->body == "whole");
    BOOST_TEST(upstreams[0]->connections() <= 3u);
}

// Guards against looks for responses whose end their framing proves.
BOOST_AUTO_TEST_CASE(IsNotLookedAtWithALengthOrChunks)
{
    for (const auto& response : { okResponse, streamResponseHead + chunk(firstEvent) + "0\r\n\r\n" }) {
        FrontFixture front;
        front.addUpstream({ response }, true);
        BOOST_TEST(front.call("/events/x")->status == 200u);
        BOOST_TEST(front.upstreams[0]->connections() == 1u);
    }
}

// Guards against answers that are lost because their upstream stops listening before it finishes its requests.
BOOST_AUTO_TEST_CASE(IsAnAnswerWhileItIsShuttingDown)
{
    UnframedServer upstream(context, closeDelimitedHead);
    listUpstream(upstream.address());
    runOnceWatched(upstream, [&] {
        state.directory().recordLeaving("u1", 1);
        upstream.stopListening();
        endLater(upstream);
    });
    BOOST_TEST(call("/once/x")->body == "whole");
}

// Guards against a part of a body that the caller gets as a complete answer since its upstream was shutting down: one
// that is killed then and one that ends look alike here.
BOOST_AUTO_TEST_CASE(IsNoAnswerIfNothingShowsThatItsUpstreamOutlivesIt)
{
    addCrashingUpstream(closeDelimitedHead + "whole", paceOfLateEnd);
    runLater(100ms, [&] { state.directory().recordLeaving("u1", 1); });
    BOOST_TEST(call("/once/x")->status == 502u);
    BOOST_TEST(state.crashSuspects().crashes().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BodyIsChunked)

// Guards against trust in the last chunk of an upstream that stopped inside an event.
BOOST_AUTO_TEST_CASE(IsCutInsideAnEvent)
{
    addUpstream({ streamResponseHead + chunk(firstEvent) + chunk(partOfSecondEvent) + "0\r\n\r\n" });
    BOOST_TEST(call("/events/x").has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
