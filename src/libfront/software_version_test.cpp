#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

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
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoftwareVersions, Fixture)

BOOST_AUTO_TEST_SUITE(AStreamBreaksOff)

// Guards against a stream with events of two software versions.
BOOST_AUTO_TEST_CASE(IsNotContinuedByAnotherVersion)
{
    addUpstreamWithVersion("v1", brokenStream);
    addUpstreamWithVersion("v2", restOfStream);
    BOOST_TEST(call("/resumable/x").has_error());
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

BOOST_AUTO_TEST_CASE(IsContinuedByTheSameVersion)
{
    addUpstreamWithVersion("v1", brokenStream);
    addUpstreamWithVersion("v2", restOfStream);
    addUpstreamWithVersion("v1", restOfStream);
    BOOST_TEST(call("/resumable/x")->body == firstEvent + secondEvent);
    BOOST_TEST(upstreams[1]->connections() == 0u);
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
    BOOST_TEST((origins.recorded[0] == StreamOrigin { "7", "s", "v1" }));
}

// Guards against a version that is kept although no event of it was forwarded.
BOOST_AUTO_TEST_CASE(DoNotMatterBeforeTheFirstEvent)
{
    addUpstreamWithVersion("v1", streamResponseHead);
    addUpstreamWithVersion("v2", streamResponseHead + chunk(firstEvent) + "0\r\n\r\n");
    BOOST_TEST(call("/resumable/x")->body == firstEvent);
}

BOOST_AUTO_TEST_SUITE_END()
