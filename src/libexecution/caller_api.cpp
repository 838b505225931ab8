#include "caller_api.h"

#include "bulrushstack/kernel/ids.h"

#include <array>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace bulrushstack::detail {

enum class CallerApi::Route {
    Liveness,
    Readiness,
    Models,
    Completion,
    ChatCompletion,
    Service,
    Unknown,
};

namespace {

/// Removes hop-by-hop headers and headers of the internal protocol from a service's response.
HttpHeaders headersForCaller(HttpHeaders headers)
{
    static constexpr std::array<std::string_view, 7> removed { "Content-Length", "X-Request-Id", "X-Not-Started",
        "X-Fencing", "X-Cache-Salt", "Bulrush-Request-Id", "Bulrush-Verdict" };
    removeHopByHopHeaders(headers);
    for (auto name : removed)
        headers.remove(name);
    return headers;
}

} // namespace

std::string modelListJson(const RequestContext& context)
{
    auto data = nlohmann::ordered_json::array();
    for (const auto& id : context.team->models) {
        if (context.configuration->model(id))
            data.push_back({ { "id", id }, { "object", "model" }, { "created", 0 }, { "owned_by", "bulrushstack" } });
    }
    const nlohmann::ordered_json document { { "object", "list" }, { "data", std::move(data) } };
    return document.dump();
}

CallerApi::CallerApi(CallerApiDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_metrics(m_dependencies.metrics)
{
}

CallerApi::Route CallerApi::routeOf(std::string_view path)
{
    if (path == "/livez")
        return Route::Liveness;
    if (path == "/readyz")
        return Route::Readiness;
    if (path == "/v1/models")
        return Route::Models;
    if (path == "/v1/completions")
        return Route::Completion;
    if (path == "/v1/chat/completions")
        return Route::ChatCompletion;
    return path.starts_with("/services/") ? Route::Service : Route::Unknown;
}

HttpResponse CallerApi::healthResponse(Route route) const
{
    if (route == Route::Liveness)
        return jsonResponse(200, R"({"live":true})");
    const auto unmet = m_dependencies.unmetConditions();
    const nlohmann::ordered_json document { { "ready", unmet.empty() }, { "unmet", unmet } };
    return jsonResponse(unmet.empty() ? 200 : 503, document.dump());
}

boost::asio::awaitable<void> CallerApi::handle(HttpExchange& exchange)
{
    const auto route = routeOf(exchange.request().path());
    if (route == Route::Liveness || route == Route::Readiness) {
        auto response = healthResponse(route);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    RequestRecord record;
    record.requestId = randomId();
    record.begin = m_dependencies.clock.now();
    m_metrics.requestBegan();
    co_await dispatchCatchingExceptions(exchange, record, route);
    record.end = m_dependencies.clock.now();
    m_metrics.requestEnded(record);
    logRequest(record);
}

boost::asio::awaitable<void> CallerApi::dispatchCatchingExceptions(
    HttpExchange& exchange, RequestRecord& record, Route route)
{
    bool hasThrown = false;
    try {
        co_await dispatch(exchange, record, route);
    } catch (const std::exception& error) {
        // The message of the exception is not logged, since it may contain parts of the request.
        LOG(ERROR) << "event=request-exception request=" << record.requestId << " team=" << record.team
                   << " type=" << typeid(error).name();
        hasThrown = true;
    }
    if (!hasThrown)
        co_return;
    record.hasProblem = true;
    record.verdict = Verdict::MayHaveRun;
    if (exchange.isStarted())
        co_return;
    Problem problem;
    problem.detail = "the request ended with an internal error";
    problem.verdict = Verdict::MayHaveRun;
    co_await sendProblem(exchange, record, std::move(problem));
}

boost::asio::awaitable<void> CallerApi::respond(HttpExchange& exchange, RequestRecord& record, HttpResponse response)
{
    record.status = response.status;
    const auto ec = co_await exchange.respond(std::move(response));
    record.isCallerGone = static_cast<bool>(ec);
}

boost::asio::awaitable<void> CallerApi::sendProblem(HttpExchange& exchange, RequestRecord& record, Problem problem)
{
    record.hasProblem = true;
    record.verdict = problem.verdict;
    auto response = problemResponse(problem, record.requestId);
    co_await respond(exchange, record, std::move(response));
}

boost::asio::awaitable<void> CallerApi::dispatch(HttpExchange& exchange, RequestRecord& record, Route route)
{
    static constexpr std::array<std::string_view, 7> kinds { "other", "other", "models", "completion", "chat",
        "service", "other" };
    record.kind = kinds[static_cast<std::size_t>(route)];
    Problem problem;
    if (m_isShuttingDown) {
        problem.code = ProblemCode::ShuttingDown;
        problem.detail = "this instance is shutting down; send the request again to reach another one";
        co_return co_await sendProblem(exchange, record, std::move(problem));
    }
    if (route == Route::Unknown) {
        problem.code = ProblemCode::NotFound;
        problem.detail = "permitted are /v1/models, /v1/completions, /v1/chat/completions and /services/NAME/PATH";
        co_return co_await sendProblem(exchange, record, std::move(problem));
    }
    const auto& request = exchange.request();
    const bool isPost = route == Route::Completion || route == Route::ChatCompletion;
    const bool isRead = request.method == "GET" || request.method == "HEAD";
    if ((isPost && request.method != "POST") || (route == Route::Models && !isRead)) {
        problem.code = ProblemCode::MethodNotAllowed;
        problem.detail = std::string("permitted is ") + (isPost ? "POST" : "GET");
        record.hasProblem = true;
        auto response = problemResponse(problem, record.requestId);
        response.headers.set("Allow", isPost ? "POST" : "GET, HEAD");
        co_return co_await respond(exchange, record, std::move(response));
    }
    auto admission = admitRequest(m_dependencies.configuration(), request.headers, record.requestId, record.begin);
    if (auto* admissionProblem = std::get_if<Problem>(&admission))
        co_return co_await sendProblem(exchange, record, std::move(*admissionProblem));
    auto context = std::move(std::get<RequestContext>(admission));
    record.team = context.team->name;
    record.urgency = context.urgency;
    record.deadline = context.deadline;
    if (isPost)
        co_return co_await runModelRequest(exchange, record, std::move(context));
    if (route == Route::Service)
        co_return co_await runServiceCall(exchange, record, std::move(context));
    auto response = jsonResponse(200, modelListJson(context));
    response.headers.set("Bulrush-Request-Id", record.requestId);
    co_await respond(exchange, record, std::move(response));
}

boost::asio::awaitable<void> CallerApi::runModelRequest(
    HttpExchange& exchange, RequestRecord& record, RequestContext context)
{
    const auto& request = exchange.request();
    auto admission = admitModelRequest(context, request.path(), request.body, m_dependencies.bodyLimits);
    if (auto* admissionProblem = std::get_if<Problem>(&admission))
        co_return co_await sendProblem(exchange, record, std::move(*admissionProblem));
    auto validatedRequest = std::move(std::get<ModelRequest>(admission));
    const auto report
        = co_await m_dependencies.models.execute(std::move(context), std::move(validatedRequest), exchange);
    record.status = report.status;
    record.verdict = report.verdict;
    record.attempts = report.attempts;
    record.resumes = report.resumes;
    record.hasProblem = report.problem.has_value();
    record.isCallerGone = report.isCallerGone;
    record.firstTokenTime = report.firstTokenTime;
}

boost::asio::awaitable<void> CallerApi::runServiceCall(
    HttpExchange& exchange, RequestRecord& record, RequestContext context)
{
    auto admission = admitServiceRequest(context, exchange.request());
    if (auto* admissionProblem = std::get_if<Problem>(&admission))
        co_return co_await sendProblem(exchange, record, std::move(*admissionProblem));
    auto validatedRequest = std::move(std::get<ServiceRequest>(admission));
    auto outcome = co_await m_dependencies.callService(std::move(context), std::move(validatedRequest));
    if (auto* problem = std::get_if<Problem>(&outcome.result)) {
        problem->verdict = outcome.verdict;
        co_return co_await sendProblem(exchange, record, std::move(*problem));
    }
    record.verdict = outcome.verdict;
    auto response = std::move(std::get<HttpResponse>(outcome.result));
    response.headers = headersForCaller(std::move(response.headers));
    response.headers.set("Bulrush-Request-Id", record.requestId);
    response.headers.set("Bulrush-Verdict", std::string(toString(outcome.verdict)));
    co_await respond(exchange, record, std::move(response));
}

HttpResponse CallerApi::protocolError(unsigned status, std::string_view detail)
{
    RequestRecord record;
    record.requestId = randomId();
    record.kind = "other";
    record.begin = record.end = m_dependencies.clock.now();
    record.hasProblem = true;
    const auto problem = protocolProblem(status, detail);
    record.status = statusOf(problem.code);
    m_metrics.requestBegan();
    m_metrics.requestEnded(record);
    logRequest(record);
    return problemResponse(problem, record.requestId);
}

} // namespace bulrushstack::detail
