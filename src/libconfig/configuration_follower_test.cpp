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

    /// Stores a document and makes it the head.
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

// Guards against an instance that stays on an old revision (guarantee G8 of the design document).
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

// Guards against a return to a lower revision when the store is restored from an old backup or a stale value is read
// (guarantee G8 of the design document).
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

// Guards against an invalid document that is put in force, and against one that is downloaded and logged at every poll.
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

// Guards against instances that cannot get a new revision from their peers during an outage of the store.
BOOST_AUTO_TEST_CASE(ProvideTheRevisionsThatTheyAnnounce)
{
    setStoreDown(true);
    setPeerReply(*revision(4));
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 4u);
    BOOST_REQUIRE(peerRequests.size() == 1u);
    BOOST_TEST((peerRequests[0] == nlohmann::json { { "type", "config-fetch" }, { "revision", 4 } }));
    BOOST_TEST(!runtime.isReady());
    follower->recordPeersAsked();
    BOOST_TEST(runtime.isReady());
}

// Guards against a revision that is not fetched because the peer fails after announcing it.
BOOST_AUTO_TEST_CASE(ThatDoNotReplyCauseAFetchFromTheStore)
{
    putIntoStore(*revision(4));
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 4u);
}

// Guards against an announced revision that is never fetched because both the peer and the store failed at first.
BOOST_AUTO_TEST_CASE(AreRetriedAtTheNextPoll)
{
    setStoreDown(true);
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 0u);
    setPeerReply(*revision(4));
    poll();
    BOOST_TEST(current() == 4u);
}

// Guards against an outage of the object store that keeps an instance on an old revision although peers have the new
// one.
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

// Guards against a peer's document that does not match the announced revision and digest, and against malformed
// replies.
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

// Guards against a reply without the document that this instance has, or one that passes off a lower revision.
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

// Guards against an instance that accepts requests before it knows any configuration.
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

// Guards against an instance that is ready on revision 0 although the store has a higher revision that it cannot read.
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

// Guards against an instance that starts while the store is down and is ready on the revision of the first peer that it
// hears of, while another peer already has a higher one.
BOOST_AUTO_TEST_CASE(RequiresTheRevisionsOfAllPeersWithoutTheStore)
{
    setStoreDown(true);
    setPeerReply(*revision(4));
    handleAnnouncement(headOf(*revision(4)));
    BOOST_TEST(current() == 4u);
    BOOST_TEST(!runtime.isReady());
    setPeerReply(*revision(5));
    handleAnnouncement(headOf(*revision(5)));
    follower->recordPeersAsked();
    BOOST_TEST(current() == 5u);
    BOOST_TEST(runtime.isReady());
}

// Guards against an instance that is ready while it still fetches the higher revision of the last peer.
BOOST_AUTO_TEST_CASE(WaitsForTheFetchOfTheLastAnnouncement)
{
    setStoreDown(true);
    setPeerReply(*revision(4));
    handleAnnouncement(headOf(*revision(4)));
    setPeerReply(*revision(5));
    follower->handleAnnouncement(headOf(*revision(5)), peerAddress);
    follower->recordPeersAsked();
    BOOST_TEST(!runtime.isReady());
    context.restart();
    context.poll();
    BOOST_TEST(current() == 5u);
    BOOST_TEST(runtime.isReady());
}

// Guards against an instance that serves an old configuration for an unlimited time during a network partition
// (guarantee G8 of the design document).
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

// Guards against coroutines that outlive the service, and against a stop() that waits for the next poll.
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
