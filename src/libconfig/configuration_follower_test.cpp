#include "bulrushstack/kernel/run_awaitable.h"
#include "configuration_follower.h"
#include "configuration_records.h"
#include "memory_platform.h"
#include "sample_document.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const Address peerAddress { .host = "127.0.0.1", .port = 7000 };

ConfigurationPtr revision(std::uint64_t number) { return Configuration::parse(sampleDocument(number)).configuration; }

ConfigurationHead headOf(const Configuration& configuration)
{
    return { .revision = configuration.revision(), .digest = configuration.digest() };
}

struct FollowerFixture {
    FollowerFixture()
    {
        auto request = [this](Address, nlohmann::json message,
                           std::chrono::nanoseconds) -> boost::asio::awaitable<Result<nlohmann::json>> {
            peerRequests.push_back(message);
            if (!peerReply)
                co_return Failure { .code = Errc::Timeout, .verdict = Verdict::MayHaveRun, .detail = "no reply" };
            co_return *peerReply;
        };
        follower = std::make_shared<ConfigurationFollower>(
            context, runtime, tables, objects, std::move(request), FollowerOptions());
    }

    /// Makes the store name and hold a document.
    void putIntoStore(ConfigurationHead head, std::string text)
    {
        runAwaitable(context, objects.put(std::move(text), clock.now()));
        Transaction transaction;
        transaction.writes = { { .id = { .table = configurationTable, .key = headKey }, .value = headToJson(head) } };
        tables.apply(transaction);
    }

    void putIntoStore(const Configuration& configuration) { putIntoStore(headOf(configuration), configuration.text()); }

    void setPeerReply(const Configuration& configuration)
    {
        peerReply = headToJson(headOf(configuration));
        (*peerReply)["document"] = configuration.text();
    }

    void poll() { runAwaitable(context, follower->poll()); }

    void handleAnnouncement(const ConfigurationHead& head)
    {
        follower->handleAnnouncement(head, peerAddress);
        context.restart();
        context.poll();
    }

    std::uint64_t current() const { return follower->current()->revision(); }

    void setStoreDown(bool isDown)
    {
        tables.fault = [isDown](std::string_view) { return isDown ? FakeFault::Unavailable : FakeFault::None; };
        objects.isAvailable = !isDown;
    }

    double metric(std::string_view name)
    {
        for (const auto& family : runtime.metrics().Collect()) {
            if (family.name == name)
                return family.metric.at(0).counter.value + family.metric.at(0).gauge.value;
        }
        return -1;
    }

    boost::asio::io_context context;
    ManualClock clock;
    MemoryTableService tables;
    MemoryObjectStore objects;
    RuntimeService runtime { Settings(), clock, { .id = "a", .zone = "z", .incarnation = 1 } };
    std::optional<nlohmann::json> peerReply;
    std::vector<nlohmann::json> peerRequests;
    std::shared_ptr<ConfigurationFollower> follower;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Follower, FollowerFixture)

// Guards against an instance that stays on an old revision (G8).
BOOST_AUTO_TEST_CASE(AdoptsHigherRevisionsFromTheStore)
{
    putIntoStore(*revision(3));
    poll();
    BOOST_TEST(current() == 3u);
    putIntoStore(*revision(5));
    poll();
    BOOST_TEST(current() == 5u);
    BOOST_TEST(metric("bulrush_configuration_revision") == 5);
    BOOST_TEST(metric("bulrush_configuration_polls_total") == 2);
}

// Guards against a reversion when the store is restored from an old copy or a stale value is read (G8).
BOOST_AUTO_TEST_CASE(NeverRevertsToALowerRevision)
{
    putIntoStore(*revision(5));
    poll();
    putIntoStore(*revision(4));
    poll();
    BOOST_TEST(current() == 5u);
    BOOST_TEST(!follower->adoptIfNewer(revision(4)));
    BOOST_TEST(!follower->adoptIfNewer(revision(5)));
    BOOST_TEST(!follower->adoptIfNewer(nullptr));
    handleAnnouncement(headOf(*revision(2)));
    BOOST_TEST(current() == 5u);
    BOOST_TEST(follower->adoptIfNewer(revision(6)));
}

// Guards against an invalid document in force, and against one log line and one download for each poll.
BOOST_AUTO_TEST_CASE(RejectsAnInvalidDocumentOnlyOnce)
{
    putIntoStore(*revision(3));
    poll();
    auto document = sampleDocument(4);
    document["unknown"] = 1;
    putIntoStore({ .revision = 4, .digest = sha256Hex(document.dump()) }, document.dump());
    poll();
    poll();
    BOOST_TEST(current() == 3u);
    BOOST_TEST(metric("bulrush_configuration_rejected_documents_total") == 1);
    BOOST_TEST(metric("bulrush_configuration_failures_total") == 1);
    putIntoStore(*revision(5));
    poll();
    BOOST_TEST(current() == 5u);
}

BOOST_AUTO_TEST_SUITE(Peers)

// Guards against a revision that spreads only through the store.
BOOST_AUTO_TEST_CASE(ProvideTheRevisionsThatTheyAnnounce)
{
    setStoreDown(true);
    setPeerReply(*revision(4));
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 4u);
    BOOST_REQUIRE(peerRequests.size() == 1u);
    BOOST_TEST((peerRequests[0] == nlohmann::json { { "type", "config-fetch" }, { "revision", 4 } }));
    BOOST_TEST(runtime.isReady());
}

// Guards against a peer that dies after its announcement.
BOOST_AUTO_TEST_CASE(ThatDoNotReplyCauseAFetchFromTheStore)
{
    putIntoStore(*revision(4));
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 4u);
}

// Guards against a revision that is forgotten because peer and store failed when it was announced.
BOOST_AUTO_TEST_CASE(AreRetriedAtTheNextPoll)
{
    setStoreDown(true);
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 0u);
    setPeerReply(*revision(4));
    poll();
    BOOST_TEST(current() == 4u);
}

// Guards against an object store outage that keeps an instance on an old revision while peers hold the new one.
BOOST_AUTO_TEST_CASE(ProvideTheDocumentDuringAnObjectStoreOutage)
{
    objects.isAvailable = false;
    handleAnnouncement(headOf(*revision(4)));
    Transaction transaction;
    transaction.writes
        = { { .id = { .table = configurationTable, .key = headKey }, .value = headToJson(headOf(*revision(4))) } };
    tables.apply(transaction);
    setPeerReply(*revision(4));
    poll();
    BOOST_TEST(current() == 4u);
}

// Guards against documents that do not match the digest which the peer announced.
BOOST_AUTO_TEST_CASE(CannotSubstituteAnotherDocument)
{
    setStoreDown(true);
    setPeerReply(*revision(4));
    handleAnnouncement({ .revision = 4, .digest = sha256Hex("other") });
    BOOST_TEST(current() == 0u);
    (*peerReply)["document"] = revision(5)->text();
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 0u);
    for (const auto& reply :
        { nlohmann::json(), nlohmann::json::array(), nlohmann::json { { "error", "unknown type" } } }) {
        peerReply = reply;
        handleAnnouncement(headOf(*revision(4)));
        BOOST_TEST(current() == 0u);
    }
}

// Guards against an instance that withholds its revision, or claims one that it does not hold.
BOOST_AUTO_TEST_CASE(ReceiveTheDocumentOnRequest)
{
    follower->adoptIfNewer(revision(4));
    const auto reply = follower->handleFetchRequest({ { "revision", 3 } });
    BOOST_TEST(reply.at("revision") == 4u);
    BOOST_TEST(reply.at("digest") == revision(4)->digest());
    BOOST_TEST(reply.at("document") == revision(4)->text());
    BOOST_TEST(!follower->handleFetchRequest({ { "revision", 5 } }).contains("document"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Readiness)

// Guards against requests at an instance that knows no configuration.
BOOST_AUTO_TEST_CASE(RequiresAFirstRevision)
{
    BOOST_TEST(!runtime.isReady());
    setStoreDown(true);
    poll();
    handleAnnouncement(headOf(*Configuration::empty()));
    BOOST_TEST(!runtime.isReady());
    setStoreDown(false);
    poll();
    BOOST_TEST(current() == 0u);
    BOOST_TEST(runtime.isReady());
}

// Guards against an instance that is ready on revision 0 while the store names a higher one that it cannot read.
BOOST_AUTO_TEST_CASE(RequiresTheDocumentNamedByTheStoreHead)
{
    putIntoStore(*revision(4));
    objects.isAvailable = false;
    poll();
    BOOST_TEST(!runtime.isReady());
    objects.isAvailable = true;
    poll();
    BOOST_TEST(runtime.isReady());
}

// Guards against a partitioned instance that serves an old configuration without bound (G8).
BOOST_AUTO_TEST_CASE(IsLostAfterTheFreshnessBoundWithoutContact)
{
    poll();
    setStoreDown(true);
    clock.advance(3999ms);
    poll();
    BOOST_TEST(runtime.isReady());
    clock.advance(1ms);
    follower->updateReadiness();
    BOOST_TEST(!runtime.isReady());
    handleAnnouncement(headOf(*Configuration::empty()));
    BOOST_TEST(runtime.isReady());
    clock.advance(4s);
    follower->updateReadiness();
    BOOST_TEST(!runtime.isReady());
    setStoreDown(false);
    poll();
    BOOST_TEST(runtime.isReady());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against coroutines that outlive the service, and against a stop that waits for the next poll.
BOOST_AUTO_TEST_CASE(StopEndsAllTasks)
{
    follower->start();
    runAwaitable(context, follower->stop());
    std::weak_ptr<ConfigurationFollower> weak = follower;
    follower.reset();
    context.restart();
    context.poll();
    BOOST_TEST(weak.expired());
}

BOOST_AUTO_TEST_SUITE_END()
