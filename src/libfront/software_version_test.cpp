#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

/// Start time of the processes that FrontFixture::addUpstream() adds.
constexpr std::uint64_t firstStart = 1;

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string brokenStream = streamResponseHead + chunk(firstEvent);
const std::string restOfStream = streamResponseHead + chunk(secondEvent) + "0\r\n\r\n";

struct Fixture : FrontFixture {
    /// Adds an upstream whose connection ends with its response.
    void addUpstreamWithVersion(const std::string& version, const std::string& response)
    {
        addUpstream({ response }, true);
        auto entry = *state.directory().find("u" + std::to_string(upstreams.size()));
        entry.softwareVersion = version;
        state.directory().apply(std::move(entry));
    }

    /// Tells the directory that a read of the table which began now still lists the upstream with this version, started
    /// as another process.
    void restart(const std::string& upstream, const std::string& version)
    {
        auto entry = *state.directory().find(upstream);
        entry.softwareVersion = version;
        ++entry.startedAt;
        state.directory().apply(std::move(entry));
        state.directory().recordRead(clock.now());
    }

    /// Checks that a stream that u1 breaks off does not go on at u2.
    void checkIsNotContinued()
    {
        BOOST_TEST(call("/resumable/x").has_error());
        BOOST_TEST(upstreams[1]->connections() == 0u);
    }

    /// Records a read of the directory so long after now that the connections of now are older than it.
    void readDirectoryLater() { state.directory().recordRead(clock.now() + std::chrono::milliseconds(2100)); }

    /// Makes the service one of engines, whose requests wait until an upstream has loaded their model.
    void configureEngines()
    {
        std::vector<RouteSpec> routes { route("/resumable/", CallKind::Stream, 2, true) };
        std::vector<ServiceSpec> services { { .name = "s", .engine = EngineSpec { .slots = 4 } } };
        state.updateConfiguration(
            std::make_shared<ServingConfiguration>(2, std::move(routes), std::move(services), RequestLimits()));
    }

    void load(const std::string& upstream, const std::string& model)
    {
        auto entry = *state.directory().find(upstream);
        entry.models.push_back({ .name = model });
        state.directory().apply(std::move(entry));
        state.wakeWaitingRequests();
    }

    /// Takes the stream of request 6 up and returns the status that the caller gets; empty if it still waits.
    std::optional<unsigned> takeUpStream(std::function<void()> whileWaiting)
    {
        HttpRequest request { .method = "POST", .target = "/resumable/x" };
        request.headers.set("X-Id", "7");
        request.headers.set("X-Resumes", "6");
        request.headers.set("X-Model", "m");
        std::optional<unsigned> status;
        boost::asio::co_spawn(context,
            client.call({ .host = "127.0.0.1", .port = server.port() }, std::move(request),
                { .deadline = clock.now() + std::chrono::seconds(10) }),
            [&](std::exception_ptr, Result<HttpResponse> response) { status = response ? response->status : 0; });
        runFor(std::chrono::milliseconds(200));
        whileWaiting();
        runFor(std::chrono::milliseconds(300));
        return status;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoftwareVersions, Fixture)

BOOST_AUTO_TEST_SUITE(AStreamBreaksOff)

// Guards against a stream with events of two software versions.
BOOST_AUTO_TEST_CASE(IsNotContinuedByAnotherVersion)
{
    addUpstreamWithVersion("v1", brokenStream);
    addUpstreamWithVersion("v2", restOfStream);
    checkIsNotContinued();
}

BOOST_AUTO_TEST_CASE(IsContinuedByTheSameVersion)
{
    addUpstreamWithVersion("v1", brokenStream);
    addUpstreamWithVersion("v2", restOfStream);
    addUpstreamWithVersion("v1", restOfStream);
    BOOST_TEST(call("/resumable/x")->body == firstEvent + secondEvent);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

// Guards against an instance that was suspended while an upstream was restarted with another version under its id: it
// names the version of the process before.
BOOST_AUTO_TEST_CASE(IsNotContinuedIfItsUpstreamWasRestartedBeforeIt)
{
    addUpstreamWithVersion("v1", brokenStream);
    addUpstreamWithVersion("v1", restOfStream);
    rows.rows["u1"] = { .id = "u1", .service = "s", .softwareVersion = "v2", .startedAt = 9 };
    rows.rows["u2"] = *state.directory().find("u2");
    checkIsNotContinued();
}

// Guards against an instance that is cut off from the store and knows one version only: an upstream was restarted with
// another one under its id.
BOOST_AUTO_TEST_CASE(IsNotContinuedWhileTheStoreIsAway)
{
    addUpstreamWithVersion("v1", brokenStream);
    addUpstreamWithVersion("v1", restOfStream);
    state.directory().recordRead(clock.now());
    state.directory().recordStoreLost();
    rows.isStoreAway = true;
    checkIsNotContinued();
}

// The same before the instance has noticed that it is cut off.
BOOST_AUTO_TEST_CASE(IsNotContinuedIfTheStoreDoesNotRespond)
{
    addUpstreamWithVersion("v1", brokenStream);
    addUpstreamWithVersion("v1", restOfStream);
    state.directory().recordRead(clock.now());
    rows.isStoreAway = true;
    checkIsNotContinued();
}

// Guards against streams that are broken off although the upstreams are known to be the same processes as before.
BOOST_AUTO_TEST_CASE(IsContinuedWhileTheStoreIsAwayOverConnectionsFromBefore)
{
    addUpstream({ okResponseTo8, brokenStream }, true);
    BOOST_TEST(call("/once/x", "8")->status == 200u);
    addUpstream({ okResponseTo8, restOfStream });
    state.directory().recordPause("u1", firstStart, std::chrono::milliseconds(200));
    BOOST_TEST(call("/once/x", "8")->status == 200u);
    runFor(std::chrono::milliseconds(250));
    readDirectoryLater();
    state.directory().recordStoreLost();
    rows.isStoreAway = true;
    BOOST_TEST(call("/resumable/x")->body == firstEvent + secondEvent);
    BOOST_TEST(upstreams[1]->connections() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACallerTakesAStreamUp)

// Guards against events of two software versions over the tries of one caller.
BOOST_AUTO_TEST_CASE(GoesOnAtTheVersionThatBeganIt)
{
    addUpstreamWithVersion("v1", restOfStream);
    addUpstreamWithVersion("v2", restOfStream);
    origins.reply = { .origin = StreamOrigin { "7", "s", "v2" }, .isVersionAmbiguous = true };
    BOOST_TEST(call("/resumable/x", "7", "6")->body == secondEvent);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

BOOST_AUTO_TEST_CASE(IsRejectedAtOnceIfTheVersionIsGoneOrUnknown)
{
    addUpstreamWithVersion("v1", restOfStream);
    origins.reply = { .origin = StreamOrigin { "7", "s", "v0" }, .isVersionAmbiguous = true };
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    origins.reply = { .isVersionAmbiguous = true };
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against streams that cannot go on, since the model is loaded at another version only.
BOOST_AUTO_TEST_CASE(AsksForTheModelAtTheVersionThatBeganIt)
{
    configureEngines();
    addUpstreamWithVersion("v1", restOfStream);
    addUpstreamWithVersion("v2", restOfStream);
    load("u1", "m");
    origins.reply = { .origin = StreamOrigin { "6", "s", "v2" }, .isVersionAmbiguous = true };
    std::map<std::string, std::uint32_t> unplaced;
    const auto status = takeUpStream([&] {
        unplaced = state.collectAndResetDemand().models.front().unplacedByVersion;
        load("u2", "m");
    });
    BOOST_TEST(unplaced["v2"] == 1u);
    BOOST_TEST(status.value_or(0) == 200u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against a version that appears while a stream of the only version before waits for its model.
BOOST_AUTO_TEST_CASE(GoesOnAtTheOnlyVersionThatWasThere)
{
    configureEngines();
    addUpstreamWithVersion("v1", restOfStream);
    const auto status = takeUpStream([&] {
        addUpstreamWithVersion("v2", restOfStream);
        load("u2", "m");
        runFor(std::chrono::milliseconds(200));
        load("u1", "m");
    });
    BOOST_TEST(status.value_or(0) == 200u);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

// Guards against a caller that loses its only try because the upstream of the stream has just crashed.
BOOST_AUTO_TEST_CASE(WaitsForTheModelIfItsUpstreamIsNotThere)
{
    configureEngines();
    addUpstreamWithVersion("v1", restOfStream);
    addUpstreamWithVersion("v1", restOfStream);
    load("u1", "m");
    upstreams[0]->stopListening();
    origins.reply = { .origin = StreamOrigin { "6", "s", "v1" } };
    const auto status = takeUpStream([&] { load("u2", "m"); });
    BOOST_TEST(status.value_or(0) == 200u);
}

// Guards against an instance that was suspended while an upstream was restarted with another version under its id.
BOOST_AUTO_TEST_CASE(GoesOnOnlyAtUpstreamsWhoseRowStillHasTheVersion)
{
    addUpstreamWithVersion("v1", restOfStream);
    addUpstreamWithVersion("v1", restOfStream);
    origins.reply = { .origin = StreamOrigin { "6", "s", "v1" } };
    rows.rows["u1"] = { .id = "u1", .service = "s", .softwareVersion = "v2" };
    rows.rows["u2"] = { .id = "u2", .service = "s", .softwareVersion = "v1" };
    BOOST_TEST(call("/resumable/x", "7", "6")->body == secondEvent);
    BOOST_TEST(upstreams[0]->connections() == 0u);
    BOOST_TEST(upstreams[1]->connections() == 1u);
}

// Guards against the version that an instance names which had not heard of the restart of the upstream.
BOOST_AUTO_TEST_CASE(IsRejectedIfItsUpstreamWasRestartedBeforeIt)
{
    addUpstreamWithVersion("v1", restOfStream);
    addUpstreamWithVersion("v1", restOfStream);
    state.directory().recordRead(clock.now());
    restart("u1", "v2");
    origins.reply = { .origin = StreamOrigin { "6", "s", "v1", "u1", firstStart } };
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

BOOST_AUTO_TEST_CASE(GoesOnIfItsUpstreamWasRestartedAfterIt)
{
    addUpstreamWithVersion("v1", restOfStream);
    addUpstreamWithVersion("v1", restOfStream);
    state.directory().recordRead(clock.now());
    restart("u1", "v2");
    origins.reply = { .origin = StreamOrigin { "6", "s", "v1", "u1", firstStart, std::chrono::seconds(10) } };
    BOOST_TEST(call("/resumable/x", "7", "6")->body == secondEvent);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against an outdated directory at the instance at which the caller takes the stream up.
BOOST_AUTO_TEST_CASE(IsRejectedIfTheRowOfItsUpstreamNamesAnotherProcess)
{
    addUpstreamWithVersion("v1", restOfStream);
    addUpstreamWithVersion("v1", restOfStream);
    rows.rows["u1"] = { .id = "u1", .service = "s", .softwareVersion = "v2", .startedAt = 9 };
    rows.rows["u2"] = *state.directory().find("u2");
    origins.reply = { .origin = StreamOrigin { "6", "s", "v1", "u1", firstStart } };
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

// Guards against an upstream that was restarted with another version under its id while the store was away.
BOOST_AUTO_TEST_CASE(IsRejectedWhileTheStoreIsAway)
{
    addUpstreamWithVersion("v1", restOfStream);
    rows.isStoreAway = true;
    state.directory().recordRead(clock.now());
    origins.reply = { .origin = StreamOrigin { "6", "s", "v1", "u1", firstStart, std::chrono::seconds(10) } };
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

BOOST_AUTO_TEST_CASE(GoesOnWhileTheStoreIsAwayOverAConnectionFromBefore)
{
    addUpstream({ okResponseTo8, restOfStream });
    BOOST_TEST(call("/once/x", "8")->status == 200u);
    readDirectoryLater();
    rows.isStoreAway = true;
    origins.reply = { .origin = StreamOrigin { "6", "s", "", "u1", firstStart, std::chrono::seconds(10) } };
    BOOST_TEST(call("/resumable/x", "7", "6")->body == secondEvent);
    BOOST_TEST(upstreams[0]->connections() == 1u);
}

// Guards against the version of an upstream that was restarted before the stream began, unnoticed by an instance that
// is cut off from the store.
BOOST_AUTO_TEST_CASE(IsRejectedIfItBeganWhileTheStoreWasAway)
{
    addUpstreamWithVersion("v1", restOfStream);
    state.directory().recordRead(clock.now());
    state.directory().recordStoreLost();
    runFor(std::chrono::milliseconds(20));
    origins.reply = { .origin = StreamOrigin { "6", "s", "v1", "u1", firstStart } };
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against an instance that was suspended while the first upstream of another version joined.
BOOST_AUTO_TEST_CASE(IsRejectedIfTheStoreListsAnotherVersion)
{
    addUpstreamWithVersion("v1", restOfStream);
    rows.rows["u1"] = *state.directory().find("u1");
    rows.rows["u2"] = { .id = "u2", .service = "s", .softwareVersion = "v2" };
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against an instance that is cut off from the store and the others, and knows one version only.
BOOST_AUTO_TEST_CASE(IsRejectedIfNeitherTheStoreNorAnotherInstanceAnswers)
{
    addUpstreamWithVersion("v1", restOfStream);
    origins.isPeerReached = false;
    rows.isStoreAway = true;
    BOOST_TEST(call("/resumable/x", "7", "6")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against any version for a stream that is taken up before an upstream of its service is known.
BOOST_AUTO_TEST_CASE(IsRejectedIfNoUpstreamIsKnown)
{
    configureEngines();
    const auto status = takeUpStream([] {});
    BOOST_TEST(status.value_or(0) == 503u);
}

BOOST_AUTO_TEST_CASE(GoesOnIfTheStoreListsOneVersion)
{
    addUpstreamWithVersion("v1", restOfStream);
    origins.isPeerReached = false;
    rows.rows["u1"] = *state.directory().find("u1");
    BOOST_TEST(call("/resumable/x", "7", "6")->body == secondEvent);
}

BOOST_AUTO_TEST_CASE(GoesOnIfThereIsOnlyOneVersion)
{
    addUpstreamWithVersion("v1", restOfStream);
    BOOST_TEST(call("/resumable/x", "7", "6")->body == secondEvent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(AreRecordedForResumableStreams)
{
    addUpstreamWithVersion("v1", streamResponseHead + chunk(firstEvent) + "0\r\n\r\n");
    BOOST_TEST(call("/resumable/x")->status == 200u);
    BOOST_REQUIRE(origins.recorded.size() == 1u);
    BOOST_TEST((origins.recorded[0] == StreamOrigin { "7", "s", "v1", "u1", firstStart }));
}

// Guards against a version that is kept although no event of it was forwarded.
BOOST_AUTO_TEST_CASE(DoNotMatterBeforeTheFirstEvent)
{
    addUpstreamWithVersion("v1", streamResponseHead);
    addUpstreamWithVersion("v2", streamResponseHead + chunk(firstEvent) + "0\r\n\r\n");
    BOOST_TEST(call("/resumable/x")->body == firstEvent);
}

BOOST_AUTO_TEST_SUITE_END()
