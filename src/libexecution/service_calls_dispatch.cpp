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
        return refusal(
            ProblemCode::Overloaded, Verdict::NotRun, "every upstream of the service is full", reason.retryAfter);
    return refusal(
        ProblemCode::NoUpstream, Verdict::NotRun, "no upstream of the service is available", reason.retryAfter);
}

ServiceOutcome failureOutcome(const Failure& failure, Verdict verdict, bool isPastDeadline)
{
    if (isPastDeadline)
        return refusal(ProblemCode::DeadlineExceeded, verdict, failure.detail, shortRetry);
    if (verdict == Verdict::NotRun) {
        const auto code = failure.code == Errc::Refused ? ProblemCode::Overloaded : ProblemCode::NoUpstream;
        return refusal(code, verdict, failure.detail, shortRetry);
    }
    return refusal(ProblemCode::UpstreamFailed, verdict, failure.detail, shortRetry);
}

/// Runs the attempts of one request one after another.
class Dispatcher {
public:
    Dispatcher(ServiceCallCorePtr core, RequestContext context, ServiceRequest request, bool isRepeatable)
        : m_core(std::move(core))
        , m_context(std::move(context))
        , m_request(std::move(request))
        , m_isRepeatable(isRepeatable)
    {
        m_route.role = InstanceRole::Service;
        m_route.service = m_request.service;
        m_route.zone = m_core->deps.identity.zone;
        m_route.urgency = m_context.urgency;
        m_end.outcome = refusal(ProblemCode::DeadlineExceeded, Verdict::NotRun, "the deadline has passed", shortRetry);
    }

    asio::awaitable<DispatchEnd> run()
    {
        for (unsigned attempt = 0; m_core->deps.clock.now() < m_context.deadline; ++attempt) {
            const bool isDone = co_await runAttempt();
            if (isDone || !mayRetry(attempt))
                break;
            Signal pause(m_core->deps.context);
            const auto delay = m_core->jitteredDelay(m_core->options.retryBackoff, attempt);
            if (delay >= m_context.deadline - m_core->deps.clock.now())
                break;
            co_await pause.wait(delay);
        }
        co_return m_end;
    }

private:
    bool mayRetry(unsigned attempt)
    {
        if (!m_isRepeatable && m_verdict != Verdict::NotRun)
            return false;
        return attempt + 1 < m_core->options.attemptLimit && m_core->deps.retries.tryConsume();
    }

    /// Returns whether the request has its final outcome.
    asio::awaitable<bool> runAttempt()
    {
        auto choice = m_core->deps.selector.select(m_route);
        if (const auto* none = std::get_if<NoRoute>(&choice)) {
            // With attempts before this one, their failure says more than the lack of further upstreams.
            if (m_route.excluded.empty())
                m_end.outcome = noRouteOutcome(*none);
            co_return true;
        }
        auto& slot = std::get<UpstreamSlot>(choice);
        m_end.route = slot.route();
        m_route.excluded.insert(slot.route().upstreamId);
        ServiceCall call {
            .attemptId = randomId(),
            .request = m_request.request,
            .idempotencyKey = upstreamKey(m_context, m_request),
        };
        auto result = co_await m_core->deps.services.call(slot.route().address, std::move(call), limits());
        co_return take(std::move(result), slot);
    }

    AttemptLimits limits() const
    {
        AttemptLimits out { .deadline = m_context.deadline, .progressTimeout = m_core->options.progressTimeout };
        // A pooled connection may be dead, which would turn a certain not-run into may-have-run.
        if (!m_isRepeatable)
            out.maxIdle = std::min(out.maxIdle, m_core->options.maxIdleForNonIdempotent);
        return out;
    }

    bool take(Result<HttpResponse> result, UpstreamSlot& slot)
    {
        if (result) {
            slot.noteConnection(true);
            m_end.outcome = { .answer = std::move(*result), .verdict = Verdict::Ran };
            return true;
        }
        const auto& failure = result.error();
        if (failure.verdict == Verdict::NotRun && failure.code != Errc::Refused)
            slot.noteConnection(false);
        m_verdict = join(m_verdict, failure.verdict);
        m_end.outcome = failureOutcome(failure, m_verdict, m_core->deps.clock.now() >= m_context.deadline);
        LOG(INFO) << "event=attempt-failed request=" << m_context.requestId << " team=" << m_context.team->name
                  << " service=" << m_request.service << " upstream=" << slot.route().upstreamId
                  << " verdict=" << toString(failure.verdict) << " error=" << failure.code.message();
        return false;
    }

    ServiceCallCorePtr m_core;
    RequestContext m_context;
    ServiceRequest m_request;
    bool m_isRepeatable;
    RouteRequest m_route;
    Verdict m_verdict = Verdict::NotRun;
    DispatchEnd m_end;
};

} // namespace

asio::awaitable<DispatchEnd> dispatch(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, bool isRepeatable)
{
    core->deps.retries.recordRequest();
    Dispatcher dispatcher(std::move(core), std::move(context), std::move(request), isRepeatable);
    co_return co_await dispatcher.run();
}

asio::awaitable<std::optional<HttpResponse>> readStatus(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request, std::optional<Route> route)
{
    const auto* service = context.configuration->service(request.service);
    if (!service || service->statusPath.empty())
        co_return std::nullopt;
    RouteRequest wanted { .role = InstanceRole::Service, .service = request.service };
    wanted.zone = core->deps.identity.zone;
    wanted.urgency = context.urgency;
    const auto path = service->statusPath;
    const auto key = upstreamKey(context, request);
    for (unsigned n = 0; n < core->options.attemptLimit && core->deps.clock.now() < context.deadline; ++n) {
        std::optional<UpstreamSlot> slot;
        if (!route) {
            auto choice = core->deps.selector.select(wanted);
            if (std::holds_alternative<NoRoute>(choice))
                break;
            slot.emplace(std::move(std::get<UpstreamSlot>(choice)));
            route = slot->route();
        }
        wanted.excluded.insert(route->upstreamId);
        const auto limit = std::min(context.deadline, core->deps.clock.now() + core->options.progressTimeout);
        auto status = co_await core->deps.services.status(route->address, path, key, limit);
        if (status && status->wasExecuted)
            co_return status->response;
        route.reset();
    }
    co_return std::nullopt;
}

} // namespace bulrushstack
