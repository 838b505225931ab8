#pragma once

#include "bulrushstack/execution/service_calls.h"
#include "journal_attempts.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bulrushstack {

/// Retry-After of refusals that usually pass soon, such as a lost connection or a refusal of one upstream.
constexpr std::chrono::seconds shortRetryAfter { 1 };

/// Wakes all coroutines that wait for something to change. One thread.
class AsyncCondition {
public:
    explicit AsyncCondition(boost::asio::io_context& context)
        : m_context(context)
    {
    }

    /// Waits for notify() or for the duration; returns whether it was notified.
    boost::asio::awaitable<bool> wait(std::chrono::nanoseconds limit);

    void notify();

private:
    boost::asio::io_context& m_context;
    std::vector<boost::asio::steady_timer*> m_waiters;
};

/// A non-idempotent call that runs on this instance. Sends of the same key on this instance share it.
struct JournaledCall {
    JournaledCall(boost::asio::io_context& asio, RequestContext requestContext, ServiceRequest serviceRequest)
        : context(std::move(requestContext))
        , request(std::move(serviceRequest))
        , digest(requestDigest(request))
        , rowId(journalRowId(context.team->name, request.idempotencyKey))
        , outcomeChanged(asio)
    {
    }

    RequestContext context;
    ServiceRequest request;
    std::string digest;
    RowId rowId;
    std::optional<ServiceOutcome> outcome; ///< set once
    AsyncCondition outcomeChanged;
};

/// State of a ServiceCallExecutor, held by all of its coroutines.
struct ServiceCallCore {
    ServiceCallCore(ServiceCallDependencies dependencies, ServiceCallOptions callOptions);

    /// Returns the deadline of one access to the table service.
    SteadyTime storeDeadline(SteadyTime deadline = SteadyTime::max()) const;

    /// Returns a random duration between half of the base and the base, doubled for each round up to 64 times.
    std::chrono::nanoseconds jitteredDelay(std::chrono::nanoseconds base, unsigned round);

    ServiceCallDependencies deps;
    ServiceCallOptions options;
    AttemptRegistry attempts;
    std::map<std::string, std::shared_ptr<JournaledCall>> runningCalls; ///< by row key
    std::size_t outstanding = 0; ///< all calls, those included whose row is not settled
    std::size_t outstandingJournaled = 0; ///< those of them that use the journal
    AsyncCondition outstandingChanged; ///< `outstanding` decreased
    AsyncCondition stopRequested; ///< `isDraining` or `isStopped` was set
    bool isDraining = false; ///< the sweep of old rows has ended for good
    bool isStopped = false; ///< the other background work has ended, too
    SteadyTime storeUnresponsiveUntil {}; ///< non-idempotent calls are refused until then
    std::minstd_rand random;
};

using ServiceCallCorePtr = std::shared_ptr<ServiceCallCore>;

/// Counts a call as outstanding while it lives.
class OutstandingCallGuard {
public:
    explicit OutstandingCallGuard(ServiceCallCorePtr core);
    ~OutstandingCallGuard();
    OutstandingCallGuard(const OutstandingCallGuard&) = delete;
    OutstandingCallGuard& operator=(const OutstandingCallGuard&) = delete;

private:
    ServiceCallCorePtr m_core;
};

/// How the dispatch of a request ended.
struct DispatchResult {
    ServiceOutcome outcome;
    std::optional<Route> route; ///< of the last attempt
};

/// Returns the idempotency key that services see. It names the team, because a service knows one space of keys and two
/// teams may choose the same key: without the team, one team's status read would return the other team's answer.
std::string upstreamIdempotencyKey(const RequestContext& context, const ServiceRequest& request);

/// Returns the outcome that answers with a problem.
ServiceOutcome problemOutcome(
    ProblemCode code, Verdict verdict, std::string detail, std::chrono::seconds retryAfter = {});

/// Sends the request to upstreams until one answers, within the limits of attempts, retry budget and deadline. If the
/// request is not repeatable, only an attempt that was not run is followed by another one.
boost::asio::awaitable<DispatchResult> dispatch(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, bool isIdempotent);

/// Asks upstreams of the service, first the given one, whether they executed the request. Returns the answer only if
/// one did; the request may still arrive otherwise, so nothing can be said then.
boost::asio::awaitable<std::optional<HttpResponse>> readStatus(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, std::optional<Route> route);

/// Runs a non-idempotent call and records its outcome. Sets the outcome of the call as soon as it is known and goes on
/// until the row of the journal is settled.
boost::asio::awaitable<void> runJournaled(ServiceCallCorePtr core, std::shared_ptr<JournaledCall> call);

/// Looks through the journal for old rows and strips or removes them, until the executor stops.
boost::asio::awaitable<void> sweepJournal(ServiceCallCorePtr core);

} // namespace bulrushstack
