#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string laterEvents = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

/// A front whose requests share the prompt parts "house" and "crashing".
struct CrashFixture : FrontFixture {
    void call(const std::string& target)
    {
        HttpRequest request { .method = "POST", .target = target };
        request.headers.set("X-Id", "7");
        request.headers.set("X-Parts", "house,crashing,own");
        const Address address { .host = "127.0.0.1", .port = server.port() };
        (void)runAwaitable(
            context, client.call(address, std::move(request), { .deadline = clock.now() + std::chrono::seconds(10) }));
        runFor(500ms);
    }

    /// Adds an upstream that sends these bytes and is gone then.
    void addCrashingUpstream(const std::string& response, RawServerPace pace = {})
    {
        addUpstream({ response }, true, pace).stopListeningAfterFirstConnection();
    }

    /// Returns the prompt parts that are suspected of the only crash.
    std::vector<std::string> suspectedParts()
    {
        const auto crashes = state.crashSuspects().crashes();
        BOOST_REQUIRE_EQUAL(crashes.size(), 1U);
        std::vector<std::string> out;
        for (const auto& it : crashes.front().suspects) {
            if (it.suspect.kind == SuspectKind::PromptPart && !it.isCleared)
                out.push_back(it.suspect.id);
        }
        return out;
    }
};

const std::vector<std::string> sharedParts { "crashing", "house" };

} // namespace

BOOST_FIXTURE_TEST_SUITE(APromptPartThatCrashesItsUpstream, CrashFixture)

BOOST_AUTO_TEST_CASE(IsSuspectedBeforeTheFirstEvent)
{
    addCrashingUpstream(streamResponseHead);
    call("/events/x");
    BOOST_TEST(suspectedParts() == sharedParts);
}

// Guards against a crashing part that is not suspected because its upstream had begun to write the response.
BOOST_AUTO_TEST_CASE(IsSuspectedAfterTheFirstEvent)
{
    addCrashingUpstream(streamResponseHead + chunk(firstEvent));
    call("/events/x");
    BOOST_TEST(suspectedParts() == sharedParts);
}

// Guards against a crashing part that counts as served since its stream ends with its connection, in order.
BOOST_AUTO_TEST_CASE(IsSuspectedIfItsStreamEndsInOrder)
{
    addCrashingUpstream(closeDelimitedStreamHead + firstEvent);
    call("/events/x");
    BOOST_TEST(suspectedParts() == sharedParts);
}

// Guards against parts that are suspected although their upstream wrote on them for long.
BOOST_AUTO_TEST_CASE(IsNotSuspectedOnceTheStreamRuns)
{
    const std::string begun = streamResponseHead + chunk(firstEvent);
    addCrashingUpstream(begun + chunk(laterEvents), { .pieceSize = begun.size(), .pause = 1200ms });
    call("/events/x");
    BOOST_TEST(suspectedParts().empty());
}

BOOST_AUTO_TEST_SUITE(OfAnUpstreamThatIsToEnd)

/// Ends the upstream in the middle of a stream, after it was taken out of the directory in some way.
void endDuringStream(CrashFixture& front, const std::function<void(UpstreamDirectory&)>& announceEnd)
{
    const std::string begun = streamResponseHead + chunk(firstEvent);
    front.addCrashingUpstream(begun + chunk(laterEvents), { .pieceSize = begun.size(), .pause = 300ms });
    boost::asio::steady_timer timer(front.context, 100ms);
    timer.async_wait([&](boost::system::error_code) { announceEnd(front.state.directory()); });
    front.call("/events/x");
}

// Guards against requests that are refused because their upstreams were replaced one after the other.
BOOST_AUTO_TEST_CASE(IsNotSuspectedIfItsUpstreamIsShuttingDown)
{
    endDuringStream(*this, [](UpstreamDirectory& directory) { directory.recordLeaving("u1", 1); });
    BOOST_TEST(state.crashSuspects().crashes().empty());
}

BOOST_AUTO_TEST_CASE(IsNotSuspectedIfItsUpstreamWasRemoved)
{
    endDuringStream(*this, [](UpstreamDirectory& directory) { directory.remove({ "u1" }); });
    BOOST_TEST(state.crashSuspects().crashes().empty());
}

// Guards against a crash that does not count because the upstream started again at once.
BOOST_AUTO_TEST_CASE(IsSuspectedIfTheUpstreamHasStartedAgain)
{
    endDuringStream(*this, [](UpstreamDirectory& directory) {
        auto entry = *directory.find("u1");
        entry.startedAt = 2;
        entry.isDraining = true;
        directory.apply(entry);
    });
    BOOST_TEST(suspectedParts() == sharedParts);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAServiceWithBrittleUpstreams)

const std::string brittleStreamHead = "HTTP/1.1 200 OK\r\nX-Brittle: 4\r\n" + streamResponseHead.substr(17);

// Guards against a crashing part that is not suspected because the upstreams of its service are brittle.
BOOST_AUTO_TEST_CASE(IsSuspectedIfTheUpstreamRefusedNothing)
{
    addCrashingUpstream(brittleStreamHead + chunk(firstEvent));
    call("/events/x");
    BOOST_TEST(suspectedParts() == sharedParts);
}

BOOST_AUTO_TEST_CASE(IsNotSuspectedIfTheUpstreamRefusedMany)
{
    addCrashingUpstream(brittleStreamHead + chunk(firstEvent));
    state.recentRefusals().record("u1", 1, 4);
    call("/events/x");
    BOOST_TEST(state.crashSuspects().crashes().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
