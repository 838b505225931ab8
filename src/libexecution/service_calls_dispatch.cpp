#include "service_calls_core.h"

#include "bulrushstack/kernel/ids.h"

#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

ServiceOutcome noRouteOutcome(const NoRoute& reason)
{
    if (reason.reason == NoRouteReason::AllFull)
        return problemOutcome(ProblemCode::Overloaded, Verdict::NotRun,
            "every upstream of the service is at its concurrency limit", reason.retryAfter);
    return problemOutcome(
        ProblemCode::NoUpstream, Verdict::NotRun, "no upstream of the service is available", reason.retryAfter);
}

ServiceOutcome failureOutcome(const Failure& failure, Verdict verdict, bool isPastDeadline)
{
    if (isPastDeadline)
        return problemOutcome(ProblemCode::DeadlineExceeded, verdict, failure.detail, shortRetryAfter);
    if (verdict == Verdict::NotRun) {
        const auto code = failure.code == Errc::Refused ? ProblemCode::Overloaded : ProblemCode::NoUpstream;
        return problemOutcome(code, verdict, failure.detail, shortRetryAfter);
    }
    return problemOutcome(ProblemCode::UpstreamFailed, verdict, failure.detail, shortRetryAfter);
}

/// Makes the attempts of one request, one after the other.
class Dispatcher {
public:
    Dispatcher(ServiceCallCorePtr core, RequestContext context, ServiceRequest request, bool isIdempotent)
        : m_core(std::move(core))
        , m_context(std::move(context))
        , m_request(std::move(request))
        , m_isIdempotent(isIdempotent)
    {
        m_routeRequest.role = InstanceRole::Service;
        m_routeRequest.service = m_request.service;
        m_routeRequest.zone = m_core->deps.identity.zone;
        m_routeRequest.urgency = m_context.urgency;
        m_result.outcome = problemOutcome(
            ProblemCode::DeadlineExceeded, Verdict::NotRun, "the deadline has passed", shortRetryAfter);
    }

    asio::awaitable<DispatchResult> run()
    {
        for (unsigned attempt = 0; m_core->deps.clock.now() < m_context.deadline; ++attempt) {
            const bool isDone = co_await runAttempt();
            if (isDone || !mayRetry(attempt))
                break;
            AsyncCondition backoff(m_core->deps.context);
            const auto delay = m_core->jitteredDelay(m_core->options.retryBackoff, attempt);
            if (delay >= m_context.deadline - m_core->deps.clock.now())
                break;
            co_await backoff.wait(delay);
        }
        co_return m_result;
    }

private:
    bool mayRetry(unsigned attempt)
    {
        if (!m_isIdempotent && m_verdict != Verdict::NotRun)
            return false;
        return attempt + 1 < m_core->options.attemptLimit && m_core->deps.retries.tryConsume();
    }

    /// Makes one attempt. Returns true if there must be no further attempt, because the outcome is final.
    asio::awaitable<bool> runAttempt()
    {
        auto choice = m_core->deps.selector.select(m_routeRequest);
        if (const auto* none = std::get_if<NoRoute>(&choice)) {
            // After earlier attempts, their failure is a better explanation than the lack of further upstreams.
            if (m_routeRequest.excluded.empty())
                m_result.outcome = noRouteOutcome(*none);
            co_return true;
        }
        auto& slot = std::get<UpstreamSlot>(choice);
        m_result.route = slot.route();
        m_routeRequest.excluded.insert(slot.route().upstreamId);
        ServiceCall call {
            .attemptId = randomId(),
            .request = m_request.request,
            .idempotencyKey = upstreamIdempotencyKey(m_context, m_request),
        };
        auto result = co_await m_core->deps.services.call(slot.route().address, std::move(call), limits());
        co_return handleResult(std::move(result), slot);
    }

    AttemptLimits limits() const
    {
        AttemptLimits out { .deadline = m_context.deadline, .progressTimeout = m_core->options.progressTimeout };
        // A pooled connection may be dead, and a failure on it is may-have-run where a new connection would give
        // not-run.
        if (!m_isIdempotent)
            out.maxIdle = std::min(out.maxIdle, m_core->options.maxIdleForNonIdempotent);
        return out;
    }

    /// Updates outcome and verdict after an attempt. Returns whether it succeeded.
    bool handleResult(Result<HttpResponse> result, UpstreamSlot& slot)
    {
        if (result) {
            slot.recordConnectionResult(true);
            m_result.outcome = { .result = std::move(*result), .verdict = Verdict::Ran };
            return true;
        }
        const auto& failure = result.error();
        if (failure.verdict == Verdict::NotRun && failure.code != Errc::Refused)
            slot.recordConnectionResult(false);
        m_verdict = join(m_verdict, failure.verdict);
        m_result.outcome = failureOutcome(failure, m_verdict, m_core->deps.clock.now() >= m_context.deadline);
        LOG(INFO) << "event=attempt-failed request=" << m_context.requestId << " team=" << m_context.team->name
                  << " service=" << m_request.service << " upstream=" << slot.route().upstreamId
                  << " verdict=" << toString(failure.verdict) << " error=" << failure.code.message();
        return false;
    }

    ServiceCallCorePtr m_core;
    RequestContext m_context;
    ServiceRequest m_request;
    bool m_isIdempotent;
    RouteRequest m_routeRequest;
    Verdict m_verdict = Verdict::NotRun;
    DispatchResult m_result;
};

} // namespace

asio::awaitable<DispatchResult> dispatch(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, bool isIdempotent)
{
    core->deps.retries.recordRequest();
    Dispatcher dispatcher(std::move(core), std::move(context), std::move(request), isIdempotent);
    co_return co_await dispatcher.run();
}

asio::awaitable<std::optional<HttpResponse>> readStatus(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, std::optional<Route> route)
{
    const auto* service = context.configuration->service(request.service);
    if (!service || service->statusPath.empty())
        co_return std::nullopt;
    RouteRequest routeRequest { .role = InstanceRole::Service, .service = request.service };
    routeRequest.zone = core->deps.identity.zone;
    routeRequest.urgency = context.urgency;
    const auto path = service->statusPath;
    const auto key = upstreamIdempotencyKey(context, request);
    for (unsigned n = 0; n < core->options.attemptLimit && core->deps.clock.now() < context.deadline; ++n) {
        std::optional<UpstreamSlot> slot;
        if (!route) {
            auto choice = core->deps.selector.select(routeRequest);
            if (std::holds_alternative<NoRoute>(choice))
                break;
            slot.emplace(std::move(std::get<UpstreamSlot>(choice)));
            route = slot->route();
        }
        routeRequest.excluded.insert(route->upstreamId);
        const auto queryDeadline = std::min(context.deadline, core->deps.clock.now() + core->options.progressTimeout);
        auto status = co_await core->deps.services.status(route->address, path, key, queryDeadline);
        if (status && status->wasExecuted)
            co_return status->response;
        route.reset();
    }
    co_return std::nullopt;
}

} // namespace bulrushstack
