#include "trial_client.h"

#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const std::string body = "a body that is sent again and again";

/// Returns the suspects of a request with that body.
std::vector<CrashSuspect> contentsOf(const std::string& target)
{
    ServingRequest request;
    request.host = "host";
    return suspectsOf(request, requestDigest(request, target, body));
}

class FixedHolder final : public LeaseHolder {
public:
    bool isSelf = true;

    bool isHolder() const override { return isSelf; }
    std::uint64_t term() const override { return 1; }
    std::optional<Address> reachableHolder() const override { return std::nullopt; }
};

/// A front that refuses a request because of two crashes some time ago.
struct QuarantineFixture : FrontFixture {
    const std::string target = "/read/x";
    const std::vector<CrashSuspect> contents = contentsOf(target);
    const std::vector<SuspectId> suspects { contents.front().suspect };

    void quarantine(std::chrono::milliseconds age)
    {
        for (const auto* upstream : { "lost-1", "lost-2" }) {
            age += 1s;
            state.mergeCrashes({ { .upstream = upstream, .startedAt = 1, .age = age, .suspects = contents } });
        }
    }

    Result<HttpResponse> send()
    {
        HttpRequest request { .method = "POST", .target = target, .headers = { { "X-Id", "7" } }, .body = body };
        const Address address { .host = "127.0.0.1", .port = server.port() };
        return runAwaitable(context, client.call(address, std::move(request), { .deadline = clock.now() + 10s }));
    }

    bool isQuarantined() const { return state.crashSuspects().findQuarantined(contents).has_value(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuarantinedRequests, QuarantineFixture)

BOOST_AUTO_TEST_CASE(AreRefusedUntilATrialIsDue)
{
    addUpstream({ okResponse });
    quarantine(1s);
    BOOST_TEST(send()->status == 503u);
    BOOST_TEST(trials.asked == 0U);
    BOOST_TEST(upstreams.front()->connections() == 0U);
}

BOOST_AUTO_TEST_SUITE(AfterAWhile)

// Guards against a request that stays refused although its upstreams were lost for another reason.
BOOST_AUTO_TEST_CASE(AreServedAgainOnceATrialIsServed)
{
    addUpstream({ okResponse });
    quarantine(20s);
    trials.isGranted = true;
    BOOST_TEST(send()->status == 200u);
    BOOST_TEST(!isQuarantined());
    BOOST_TEST(state.hasUrgentDemand());
}

// Guards against a read of something that does not exist, which no success can ever clear.
BOOST_AUTO_TEST_CASE(AreServedAgainOnceAnUpstreamAnsweredWithoutASuccess)
{
    for (const auto* status : { "404 None", "409 Conflict", "304 Not Modified" }) {
        QuarantineFixture front;
        front.addUpstream({ rawResponse(status, "X-Id: 7\r\nX-Seal: s\r\n", "") });
        front.quarantine(20s);
        front.trials.isGranted = true;
        BOOST_TEST(front.send()->status == std::stoul(status), status);
        BOOST_TEST(!front.isQuarantined(), status);
    }
}

// Guards against trust in an upstream that fails before it runs the request.
BOOST_AUTO_TEST_CASE(AreStillRefusedAfterAnErrorOfTheUpstream)
{
    addUpstream({ serverErrorResponse });
    quarantine(20s);
    trials.isGranted = true;
    BOOST_TEST(send()->status == 500u);
    BOOST_TEST(isQuarantined());
}

BOOST_AUTO_TEST_CASE(AreRefusedWithoutATrial)
{
    addUpstream({ okResponse });
    quarantine(20s);
    BOOST_TEST(send()->status == 503u);
    BOOST_TEST(trials.asked == 1U);
    BOOST_TEST(upstreams.front()->connections() == 0U);
}

// Guards against a trial that costs a second upstream.
BOOST_AUTO_TEST_CASE(AreSentToOneUpstreamOnly)
{
    addUpstream({ "" }, true).stopListeningAfterFirstConnection();
    addUpstream({ okResponse });
    quarantine(20s);
    trials.isGranted = true;
    BOOST_TEST(send()->status == 502u);
    BOOST_TEST(upstreams.front()->connections() + upstreams.back()->connections() >= 1U);
    BOOST_TEST(upstreams.back()->received().empty());
    BOOST_TEST(isQuarantined());
    BOOST_TEST(state.crashSuspects().quarantined().at(suspects.front()).trials == 1U);
    BOOST_TEST(send()->status == 503u);
    BOOST_TEST(trials.asked == 1U);
}

// Guards against trials that are used up while no upstream could run the request.
BOOST_AUTO_TEST_CASE(AskForNoTrialWithoutAnUpstream)
{
    quarantine(20s);
    trials.isGranted = true;
    BOOST_TEST(send()->status == 503u);
    BOOST_TEST(trials.asked == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Trials, QuarantineFixture)

BOOST_AUTO_TEST_CASE(AreNotGrantedBeforeTheyAreDue)
{
    const FixedHolder holder;
    TrialClient trialClient(state, client, holder);
    quarantine(1s);
    BOOST_TEST(!runAwaitable(context, trialClient.obtain({ suspects }, clock.now() + 1s)));
    quarantine(20s);
    BOOST_TEST(runAwaitable(context, trialClient.obtain({ suspects }, clock.now() + 1s)));
}

// Guards against trials of what only the asking instance has quarantined.
BOOST_AUTO_TEST_CASE(AreNotGrantedForWhatTheHolderHasNotQuarantined)
{
    const FixedHolder holder;
    TrialClient trialClient(state, client, holder);
    quarantine(20s);
    BOOST_TEST(!trialClient.grantAsHolder({ { { .id = "another" } } }).isGranted);
}

BOOST_AUTO_TEST_CASE(AreNotGrantedTwiceForTheSameSuspect)
{
    const FixedHolder holder;
    TrialClient trialClient(state, client, holder);
    quarantine(20s);
    BOOST_TEST(trialClient.grantAsHolder({ suspects }).isGranted);
    BOOST_TEST(!trialClient.grantAsHolder({ suspects }).isGranted);
}

BOOST_AUTO_TEST_CASE(AreNotGrantedWhileNoHolderCanBeReached)
{
    FixedHolder holder;
    holder.isSelf = false;
    TrialClient trialClient(state, client, holder);
    quarantine(20s);
    BOOST_TEST(!runAwaitable(context, trialClient.obtain({ suspects }, clock.now() + 1s)));
}

BOOST_AUTO_TEST_SUITE_END()
