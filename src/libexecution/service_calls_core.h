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

/// Retry-After for problems that are usually short, such as a lost connection or a refusal by one upstream.
constexpr std::chrono::seconds shortRetryAfter { 1 };

/// A condition variable for coroutines: notify() wakes all waiters. All methods must be called on the same thread.
class AsyncCondition {
public:
    explicit AsyncCondition(boost::asio::io_context& context)
        : m_context(context)
    {
    }

    /// Waits for notify(), at most for `limit`. Returns whether it was notified; false at once if `limit` is not
    /// positive.
    boost::asio::awaitable<bool> wait(std::chrono::nanoseconds limit);

    void notify();

private:
    boost::asio::io_context& m_context;
    std::vector<boost::asio::steady_timer*> m_waiters;
};

/// A non-idempotent call that runs on this instance. Requests with the same key on this instance share it.
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
    std::optional<ServiceOutcome> outcome; ///< set exactly once, when it is known
    AsyncCondition outcomeChanged; ///< notified when `outcome` is set
};

/// State of a ServiceCallExecutor, shared by all of its coroutines, which may outlive the executor.
struct ServiceCallCore {
    ServiceCallCore(ServiceCallDependencies dependencies, ServiceCallOptions callOptions);

    /// Returns the deadline of one access to the table service: `deadline`, but at most `storeTimeout` from now.
    SteadyTime storeDeadline(SteadyTime deadline = SteadyTime::max()) const;

    /// Returns a random delay between half of and the full backoff of the round. The backoff starts at `base` and
    /// doubles with each round, up to 64 times `base`.
    std::chrono::nanoseconds jitteredDelay(std::chrono::nanoseconds base, unsigned round);

    ServiceCallDependencies deps;
    ServiceCallOptions options;
    AttemptRegistry attempts; ///< attempts of non-idempotent calls
    std::map<std::string, std::shared_ptr<JournaledCall>> runningCalls; ///< keyed by the key of the journal row
    std::size_t outstanding = 0; ///< all calls, including those whose journal row is not in its final state
    std::size_t outstandingJournaled = 0; ///< the part of `outstanding` that uses the journal
    AsyncCondition outstandingChanged; ///< notified when `outstanding` has decreased
    AsyncCondition stopRequested; ///< notified when `isDraining` or `isStopped` is set
    bool isDraining = false; ///< the sweep of old rows has to stop
    bool isStopped = false; ///< all background work has to stop
    SteadyTime storeUnresponsiveUntil {}; ///< end of the refusals after a timeout of the table service
    std::minstd_rand random;
};

using ServiceCallCorePtr = std::shared_ptr<ServiceCallCore>;

/// RAII guard that counts a call as outstanding.
class OutstandingCallGuard {
public:
    explicit OutstandingCallGuard(ServiceCallCorePtr core);
    ~OutstandingCallGuard();
    OutstandingCallGuard(const OutstandingCallGuard&) = delete;
    OutstandingCallGuard& operator=(const OutstandingCallGuard&) = delete;

private:
    ServiceCallCorePtr m_core;
};

/// The result of dispatch().
struct DispatchResult {
    ServiceOutcome outcome;
    std::optional<Route> route; ///< upstream of the last attempt
};

/// Returns the idempotency key that is sent to services, prefixed with the name of the team. Two teams may choose the
/// same key, and a service does not know teams: without the prefix, a status query for one team could return the
/// response of the other team.
std::string upstreamIdempotencyKey(const RequestContext& context, const ServiceRequest& request);

/// Returns an outcome whose result is a problem. Sets Retry-After only if `retryAfter` is positive.
ServiceOutcome problemOutcome(
    ProblemCode code, Verdict verdict, std::string detail, std::chrono::seconds retryAfter = {});

/// Sends the request to one upstream after another until one responds, within the attempt limit, the retry budget and
/// the deadline. A request that is not idempotent is retried only if all earlier attempts have the verdict NotRun.
boost::asio::awaitable<DispatchResult> dispatch(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, bool isIdempotent);

/// Queries the status endpoint of upstreams of the service, first of the given one, for the execution of the request.
/// Returns the response of the execution if one reports it. An empty result proves nothing, because the request may
/// still be on its way.
boost::asio::awaitable<std::optional<HttpResponse>> readStatus(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, std::optional<Route> route);

/// Runs a non-idempotent call and records its outcome. Sets the outcome of the call as soon as it is known, and
/// continues until the journal row is in its final state.
boost::asio::awaitable<void> runJournaled(ServiceCallCorePtr core, std::shared_ptr<JournaledCall> call);

/// Lists the journal periodically and strips or removes old rows, until the executor drains or stops.
boost::asio::awaitable<void> sweepJournal(ServiceCallCorePtr core);

} // namespace bulrushstack
