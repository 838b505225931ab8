#include "load_summary.h"

#include "test_experiment.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace bulrushstack::load;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Summaries)

BOOST_AUTO_TEST_CASE(PercentilesAreExact)
{
    Samples samples;
    BOOST_TEST((samples.percentile(50) == 0ns));
    for (int i = 100; i > 0; --i)
        samples.add(std::chrono::milliseconds(i));
    BOOST_TEST((samples.percentile(50) == 50ms));
    BOOST_TEST((samples.percentile(95) == 95ms));
    BOOST_TEST((samples.percentile(99) == 99ms));
    BOOST_TEST((samples.percentile(100) == 100ms));
    Samples one;
    one.add(7ms);
    BOOST_TEST((one.percentile(50) == 7ms));
    BOOST_TEST((one.percentile(99) == 7ms));
}

// Guards against fast failures that are counted as meeting the deadline or that lower the latency percentiles.
BOOST_AUTO_TEST_CASE(OnlyAnsweredRequestsMeetTheirDeadline)
{
    const auto experiment = parseExperiment(experimentDocument());
    LoadSummary summary(experiment);
    PlannedRequest planned;
    planned.request = 1;
    RequestOutcome outcome;
    outcome.status = "200";
    outcome.verdict = "ran";
    outcome.isAnswered = true;
    outcome.latency = 1500ms;
    outcome.firstToken = 200ms;
    summary.add(planned, outcome);
    outcome.latency = 1501ms;
    summary.add(planned, outcome);
    outcome.status = "503";
    outcome.verdict = "not-run";
    outcome.isAnswered = false;
    outcome.latency = 1ms;
    outcome.firstToken.reset();
    summary.add(planned, outcome);
    summary.addSkipped();

    const auto result = summary.toJson(2s);
    const auto& live = result.at("by_class").at("live");
    BOOST_TEST((live.at("deadline_met") == 1));
    BOOST_TEST((live.at("deadline_missed") == 2));
    BOOST_TEST((live.at("by_status").at("503") == 1));
    BOOST_TEST((live.at("by_verdict").at("ran") == 2));
    BOOST_TEST((live.at("latency_ms").at("count") == 2));
    BOOST_TEST((live.at("latency_ms").at("p50") == 1500.0));
    BOOST_TEST((live.at("first_token_ms").at("p99") == 200.0));
    BOOST_TEST((result.at("requests_per_second") == 1.5));
    BOOST_TEST((result.at("answered_per_second") == 1.0));
    BOOST_TEST((result.at("skipped") == 1));
    BOOST_TEST((result.at("by_team").at("zagreb").at("requests") == 3));
    BOOST_TEST((result.at("by_phase").at("1/calm").at("requests") == 3));
}

BOOST_AUTO_TEST_SUITE_END()
