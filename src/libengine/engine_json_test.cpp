#include "engine_json.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace bulrushstack::detail;

namespace {

const std::string report = R"({"incarnation":3,"queued":1,"running":2,"tokens_per_second":99.5,)"
                           R"("memory":{"capacity":100,"used":60,"high_water":70},)"
                           R"("resident":[{"model":"m","version":"1","state":"ready","bytes":60}]})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineJson)

// Guards against mixing up the fields of a load report.
BOOST_AUTO_TEST_CASE(LoadReportIsParsed)
{
    const auto load = parseLoadReport(report);
    BOOST_REQUIRE(load);
    const ResidentModel model { .model = "m", .version = "1", .state = ResidentState::Ready, .bytes = 60 };
    LoadReport expected;
    expected.incarnation = 3;
    expected.queued = 1;
    expected.running = 2;
    expected.tokensPerSecond = 99.5;
    expected.memoryCapacity = 100;
    expected.memoryUsed = 60;
    expected.resident = { model };
    BOOST_TEST((*load == expected));
}

// Guards against an exception, or a report of zeros, for a malformed load report. A report of zeros looks like an idle
// engine and would attract requests.
BOOST_AUTO_TEST_CASE(MalformedLoadReportsAreRejected)
{
    const std::vector<std::string> malformedReports {
        "",
        "null",
        "[]",
        report.substr(0, report.size() - 1),
        replaced(report, "\"queued\":1", "\"queued\":-1"),
        replaced(report, "\"queued\":1", "\"queued\":\"1\""),
        replaced(report, "\"running\":2,", ""),
        replaced(report, "99.5", "1e999"),
        replaced(report, "\"capacity\":100,", ""),
        replaced(report, "\"ready\"", "\"warm\""),
        replaced(report, "\"bytes\":60", "\"bytes\":null"),
        replaced(report, "[{", "[7,{"),
        std::string(100000, '['),
    };
    for (const auto& it : malformedReports) {
        const auto load = parseLoadReport(it);
        BOOST_REQUIRE_MESSAGE(load.has_error(), it.substr(0, 200));
        BOOST_TEST((load.error().code == Errc::Malformed));
    }
}

// Guards against losing the response of the earlier call when its status is read.
BOOST_AUTO_TEST_CASE(CallStatusIsParsed)
{
    const auto ran = parseCallStatus(200, R"({"executed":true,"status":201,"body":{"id":5}})");
    BOOST_REQUIRE(ran);
    BOOST_TEST(ran->wasExecuted);
    BOOST_TEST(ran->response.status == 201U);
    BOOST_TEST(ran->response.body == R"({"id":5})");
    const auto absent = parseCallStatus(404, R"({"executed":false})");
    BOOST_REQUIRE(absent);
    BOOST_TEST(!absent->wasExecuted);
}

// Guards against executing a call twice, such as a payment: an arbitrary 404 page or a malformed response must not
// count as "not executed".
BOOST_AUTO_TEST_CASE(OnlyTheDocumentedFormProvesThatACallWasNotExecuted)
{
    BOOST_TEST(parseCallStatus(404, "").has_error());
    BOOST_TEST(parseCallStatus(404, R"({"error":"no such path"})").has_error());
    BOOST_TEST(parseCallStatus(404, R"({"executed":true,"status":200,"body":1})").has_error());
    BOOST_TEST(parseCallStatus(200, R"({"executed":false})").has_error());
    BOOST_TEST(parseCallStatus(200, R"({"executed":"true","status":200})").has_error());
    BOOST_TEST(parseCallStatus(200, R"({"executed":true})").has_error());
    BOOST_TEST(parseCallStatus(200, R"({"executed":true,"status":99})").has_error());
    BOOST_TEST(parseCallStatus(500, R"({"executed":false})").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
