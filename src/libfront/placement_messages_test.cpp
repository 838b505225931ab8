#include "bulrushstack/front/placement_messages.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

std::vector<UpstreamCrash> crashes()
{
    const SuspectId part { .kind = SuspectKind::PromptPart, .id = "p1" };
    const SuspectId request { .kind = SuspectKind::Request, .id = "d1" };
    return { { .upstream = "u1",
        .startedAt = 7,
        .age = 1500ms,
        .suspects = { { .suspect = part, .depth = 2, .wasServedBefore = true },
            { .suspect = request, .depth = 3, .isCleared = true, .trials = 2 } } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementMessages)

BOOST_AUTO_TEST_CASE(KeepCrashes)
{
    const DemandMessage message { .instance = "a", .crashes = crashes(), .crashFingerprint = ~std::uint64_t(0) };
    BOOST_TEST((decodeDemandMessage(encode(message)).value() == message));
    const DemandReply reply { .isHolder = true, .crashes = crashes(), .crashFingerprint = 5 };
    BOOST_TEST((decodeDemandReply(encode(reply)).value().crashes == crashes()));
    BOOST_TEST((decodeCrashes(encodeCrashes(crashes())).value() == crashes()));
}

BOOST_AUTO_TEST_CASE(RejectUnreadableCrashes)
{
    BOOST_TEST(decodeCrashes(nlohmann::json::parse(R"({"crashes":[{"upstream":1}]})")).has_error());
    BOOST_TEST(decodeCrashes(nlohmann::json("text")).has_error());
}

// Guards against instances of two versions in one fleet that cannot read each other's messages.
BOOST_AUTO_TEST_CASE(AreReadableByThePreviousVersionAndReadIt)
{
    const auto document = nlohmann::json::parse(encode(DemandMessage { .instance = "a", .crashes = crashes() }));
    BOOST_TEST(document.at("crashes").empty());
    const auto old = decodeDemandMessage(
        R"({"instance":"a","models":[],"adapters":[],"crashes":[{"digest":"d","crashes":2}],"unreachable":[]})");
    BOOST_REQUIRE(old);
    BOOST_TEST(old->crashes.empty());
    const auto withoutTrials = decodeCrashes(
        nlohmann::json::parse(R"({"crashes":[{"upstream":"u1","startedAt":7,"ageMs":1,"suspects":[["d1",3,0]]}]})"));
    BOOST_REQUIRE(withoutTrials);
    BOOST_TEST(withoutTrials->front().suspects.front().trials == 0U);
    BOOST_TEST(encodeCrashes(*withoutTrials).at("crashes").at(0).at("suspects").at(0).size() == 3U);
}

BOOST_AUTO_TEST_CASE(CarryTrials)
{
    const TrialRequest request { .suspects = { { .kind = SuspectKind::PromptPart, .id = "p1" }, { .id = "d1" } } };
    BOOST_TEST((decodeTrialRequest(encode(request)).value() == request));
    BOOST_TEST(decodeTrialReply(encode(TrialReply { .isGranted = true }))->isGranted);
    BOOST_TEST(decodeTrialRequest(R"({"suspects":[["x"]]})").has_error());
}

// Guards against quotas that two instances count differently, and against messages that an older build cannot read.
BOOST_AUTO_TEST_CASE(CarryTheUseOfQuotas)
{
    DemandMessage message { .instance = "a" };
    BOOST_TEST(encode(message).find("creditUses") == std::string::npos);
    message.creditUses = { { .instance = "a", .process = 7, .totals = { { "zagreb", 1200.5 } } } };
    BOOST_CHECK(decodeDemandMessage(encode(message))->creditUses == message.creditUses);
    DemandReply reply { .isHolder = true };
    BOOST_TEST(encode(reply).find("credits") == std::string::npos);
    reply.credits = { { .team = "zagreb", .units = 300, .share = 0.25 } };
    BOOST_CHECK(decodeDemandReply(encode(reply))->credits == reply.credits);
    const QuotaRequest request { .instance = "a", .team = "zagreb", .units = 9200, .share = 0.25, .isForDeputy = true };
    BOOST_CHECK(*decodeQuotaRequest(encode(request)) == request);
    const QuotaReply denied { .retryAfter = std::chrono::milliseconds(250) };
    BOOST_CHECK(*decodeQuotaReply(encode(denied)) == denied);
    BOOST_TEST(decodeQuotaRequest("{}").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
