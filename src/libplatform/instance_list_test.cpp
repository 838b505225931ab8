#include "scripted_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using json = nlohmann::json;

namespace {

struct InstanceFixture : ScriptedServerFixture {
    Result<std::vector<InstanceRecord>> list() { return runAwaitable(context, instances.list(noDeadline)); }

    void respondWithRecords(const json& records)
    {
        auto document = json::object();
        document["instances"] = records;
        respondWith(200, document.dump());
    }

    HttpInstanceList instances { client, address };
    json entry = json::parse(R"({"id":"e2","role":"entry","host":"127.0.0.1","port":8000,"peer_port":9000,
        "zone":"zg-1","state":"leaving","incarnation":7})");
    json service = json::parse(R"({"id":"c1","role":"service","service":"cue-board","host":"::1","port":8100,
        "zone":"st-1","state":"live","incarnation":1,"checks_fencing":true})");
    json engine = json::parse(R"({"id":"d1","role":"engine","host":"127.0.0.1","port":8200,
        "zone":"st-1","state":"live","incarnation":1,"checks_fencing":false,"future":[1]})");
};

} // namespace

BOOST_AUTO_TEST_SUITE(EnumNames)

BOOST_AUTO_TEST_CASE(RoundTripAndRejectOtherText)
{
    for (auto it : { InstanceRole::Entry, InstanceRole::Engine, InstanceRole::Service })
        BOOST_TEST((parseInstanceRole(toString(it)) == it));
    for (auto it : { InstanceState::Live, InstanceState::Leaving })
        BOOST_TEST((parseInstanceState(toString(it)) == it));
    BOOST_TEST(toString(InstanceRole::Entry) == "entry");
    BOOST_TEST(toString(InstanceState::Leaving) == "leaving");
    BOOST_TEST(!parseInstanceRole("Entry").has_value());
    BOOST_TEST(!parseInstanceState("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(InstanceListOverHttp, InstanceFixture)

BOOST_AUTO_TEST_CASE(RecordsAreSortedById)
{
    respondWithRecords(json::array({ entry, engine, service }));
    auto records = list().value();
    BOOST_REQUIRE(records.size() == 3U);
    BOOST_TEST(records[0].id == "c1");
    BOOST_TEST(records[0].service == "cue-board");
    BOOST_TEST(records[0].address.toString() == "[::1]:8100");
    BOOST_TEST(records[0].checksFencing);
    BOOST_TEST((records[1].role == InstanceRole::Engine));
    BOOST_TEST(records[2].peerPort == 9000);
    BOOST_TEST((records[2].state == InstanceState::Leaving));
    BOOST_TEST(records[2].incarnation == 7U);
}

BOOST_AUTO_TEST_CASE(EmptyListIsNoFailure)
{
    respondWithRecords(json::array());
    BOOST_TEST(list().value().empty());
}

// Guards against exceptions on JSON with an unexpected structure, and against records with missing or invalid values.
BOOST_AUTO_TEST_CASE(InvalidRecordsAreMalformed)
{
    const std::vector<std::pair<const char*, json>> changes {
        { "id", 7 },
        { "id", "" },
        { "id", nullptr },
        { "role", "Entry" },
        { "role", 1 },
        { "host", "example.org" },
        { "host", "" },
        { "host", "fe80::1%1\r\nX: 1" },
        { "host", nullptr },
        { "port", 0 },
        { "port", 65536 },
        { "port", "80" },
        { "port", -1 },
        { "peer_port", 0 },
        { "peer_port", 1.5 },
        { "zone", nullptr },
        { "state", "dead" },
        { "incarnation", -1 },
        { "incarnation", "7" },
        { "checks_fencing", "no" },
        { "checks_fencing", nullptr },
    };
    for (const auto& [name, value] : changes) {
        auto record = entry;
        record[name] = value;
        respondWithRecords(json::array({ engine, record }));
        auto records = list();
        BOOST_REQUIRE_MESSAGE(records.has_error(), record.dump());
        BOOST_TEST((records.error().code == Errc::Malformed), record.dump());
    }
    service.erase("service");
    respondWithRecords(json::array({ service }));
    BOOST_TEST((list().error().code == Errc::Malformed));
    respondWithRecords(json::array({ entry, entry }));
    BOOST_TEST((list().error().code == Errc::Malformed));
    for (const auto* it : { "", "[]", "{}", R"({"instances":{}})", R"({"instances":[7]})" }) {
        respondWith(200, it);
        BOOST_TEST((list().error().code == Errc::Malformed), it);
    }
}

BOOST_AUTO_TEST_CASE(OutageIsUnavailable)
{
    respondWith(503, "");
    BOOST_TEST((list().error().code == Errc::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
