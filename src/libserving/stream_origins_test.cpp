#include "bulrushstack/serving/stream_origins.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

StreamOrigin stream(std::string request) { return { std::move(request), "s", "v1" }; }

struct Fixture {
    ManualClock clock;
    StreamOrigins origins { clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OriginsOfStreams, Fixture)

BOOST_AUTO_TEST_CASE(AreFoundByTheRequestOfTheFirstEvent)
{
    origins.record(stream("1"));
    origins.record(stream("2"));
    BOOST_TEST(origins.find("1")->softwareVersion == "v1");
    BOOST_TEST(origins.find("2").has_value());
    BOOST_TEST(!origins.find("3"));
}

// Guards against memory that grows with each stream.
BOOST_AUTO_TEST_CASE(AreForgottenAfterAMinute)
{
    origins.record(stream("1"));
    clock.advance(61s);
    origins.record(stream("2"));
    BOOST_TEST(!origins.find("1"));
    for (int i = 0; i < 30'000; ++i)
        origins.record(stream("n" + std::to_string(i)));
    BOOST_TEST(!origins.find("2"));
}

BOOST_AUTO_TEST_CASE(GrowOlder)
{
    auto origin = stream("1");
    origin.age = 100ms;
    origins.record(origin);
    clock.advance(2s);
    BOOST_TEST(origins.find("1")->age.count() == 2100);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// The upstream u, first a process of v1 that was started at 10, then one of v2 that was started at 20.
struct RestartFixture {
    ManualClock clock;
    UpstreamDirectory directory { clock };

    RestartFixture()
    {
        read("v1", 10);
        clock.advance(10s);
    }

    void read(std::string version, std::uint64_t startedAt)
    {
        directory.apply({ .id = "u", .service = "s", .softwareVersion = std::move(version), .startedAt = startedAt });
        directory.recordRead(clock.now());
    }

    /// A stream that the instance attributes to the first process.
    bool isDoubtful(std::chrono::milliseconds age) const
    {
        const StreamOrigin origin {
            .request = "1", .service = "s", .softwareVersion = "v1", .upstream = "u", .startedAt = 10, .age = age
        };
        return isVersionDoubtful(origin, clock.now(), directory);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheVersionOfAStream, RestartFixture)

BOOST_AUTO_TEST_CASE(IsTrustedWhileTheProcessIsListed) { BOOST_TEST(!isDoubtful(0ms)); }

BOOST_AUTO_TEST_SUITE(AfterARestartWithAnotherVersion)

// Guards against streams that cannot go on after a release that keeps the ids of the upstreams.
BOOST_AUTO_TEST_CASE(IsTrustedIfTheStreamBeganBeforeTheLastReadOfTheProcess)
{
    read("v1", 10);
    clock.advance(1s);
    read("v2", 20);
    BOOST_TEST(!isDoubtful(1s));
}

// Guards against an instance that was suspended, or whose directory is outdated for another reason.
BOOST_AUTO_TEST_CASE(IsDoubtfulIfTheStreamBeganLater)
{
    read("v1", 10);
    clock.advance(1s);
    read("v2", 20);
    BOOST_TEST(isDoubtful(999ms));
    clock.advance(5s);
    BOOST_TEST(isDoubtful(100ms));
    BOOST_TEST(!isDoubtful(6s));
}

BOOST_AUTO_TEST_CASE(IsTrustedUntilTheProcessWasRemoved)
{
    directory.remove({ "u" });
    directory.recordRead(clock.now());
    BOOST_TEST(!isDoubtful(0ms));
    read("v2", 20);
    BOOST_TEST(isDoubtful(0ms));
    BOOST_TEST(!isDoubtful(10s));
}

// Guards against an instance that started after the restart and knows nothing of the process before.
BOOST_AUTO_TEST_CASE(IsDoubtfulIfTheProcessWasNeverListed)
{
    UpstreamDirectory other(clock);
    other.apply({ .id = "u", .service = "s", .softwareVersion = "v2", .startedAt = 20 });
    const StreamOrigin origin {
        .request = "1", .service = "s", .softwareVersion = "v1", .upstream = "u", .startedAt = 10
    };
    BOOST_TEST(isVersionDoubtful(origin, clock.now(), other));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(IsTrustedAfterARestartWithTheSameVersion)
{
    read("v1", 20);
    BOOST_TEST(!isDoubtful(0ms));
}

BOOST_AUTO_TEST_SUITE_END()
