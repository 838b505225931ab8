#include "bulrushstack/engine/http_upstream_clients.h"

#include "bulrushstack/kernel/ids.h"
#include "engine_json.h"
#include "engine_stream.h"
#include "upstream_call.h"

#include <nlohmann/json.hpp>

namespace bulrushstack {

namespace asio = boost::asio;
using namespace detail;

namespace {

/// Maximum body size of responses to orders, cancellations and load report requests, in bytes. These are small; a
/// larger one is not a valid response.
constexpr std::uint64_t controlBodyLimit = 1024 * 1024;

HttpCallOptions attemptOptions(const AttemptLimits& limits)
{
    HttpCallOptions options;
    options.deadline = limits.deadline;
    options.isLateResponseRead = true;
    options.progressTimeout = limits.progressTimeout;
    options.maxIdle = limits.maxIdle;
    return options;
}

HttpCallOptions controlOptions(SteadyTime deadline)
{
    HttpCallOptions options;
    options.deadline = deadline;
    options.bodyLimit = controlBodyLimit;
    return options;
}

HttpRequest inferenceRequest(EngineRequest request)
{
    HttpRequest out;
    out.method = "POST";
    out.target = std::move(request.path);
    out.headers.set("Content-Type", "application/json");
    out.headers.set("X-Priority", std::to_string(request.priority));
    out.headers.set("X-Cache-Salt", std::move(request.cacheSalt));
    out.body = std::move(request.body);
    return out;
}

HttpRequest streamRequest(std::string method, std::string_view attemptId, std::string cacheSalt)
{
    HttpRequest out;
    out.method = std::move(method);
    out.target = "/v1/streams/" + percentEncode(attemptId);
    out.headers.set("X-Cache-Salt", std::move(cacheSalt));
    return out;
}

/// Maps a non-success HTTP status to a failure. The verdict is MayHaveRun: only a refusal with X-Not-Started, which
/// openChecked() handles, proves that the request was not executed.
Failure statusFailure(unsigned status)
{
    Errc code = Errc::Unavailable;
    if (status == 404)
        code = Errc::NotFound;
    else if (status / 100 == 4)
        code = Errc::InvalidArgument;
    else if (status / 100 != 5)
        code = Errc::Malformed;
    return { .code = code,
        .verdict = Verdict::MayHaveRun,
        .detail = "the engine responded with status " + std::to_string(status) };
}

Result<std::unique_ptr<EngineStream>> toEngineStream(
    HttpClient& client, Address engine, std::unique_ptr<HttpStream> stream, std::uint64_t nextOffset)
{
    if (stream->status() != 200)
        return statusFailure(stream->status());
    if (!stream->headers().find("Content-Type").value_or("").starts_with("text/event-stream"))
        return Failure { .code = Errc::Malformed,
            .verdict = Verdict::MayHaveRun,
            .detail = "the engine responded with a content type other than text/event-stream" };
    return std::unique_ptr<EngineStream>(
        std::make_unique<HttpEngineStream>(client, std::move(engine), std::move(stream), nextOffset));
}

} // namespace

HttpEngineClient::HttpEngineClient(HttpClient& client)
    : m_client(client)
{
}

asio::awaitable<Result<HttpResponse>> HttpEngineClient::complete(
    Address engine, EngineRequest request, AttemptLimits limits)
{
    const auto attemptId = request.attemptId;
    auto message = inferenceRequest(std::move(request));
    auto response = co_await callChecked(m_client, engine, std::move(message), attemptId, attemptOptions(limits));
    if (!response || response->status / 100 == 4)
        co_return response;
    if (response->status / 100 != 2)
        co_return statusFailure(response->status);
    if (!response->body.starts_with('{') || !nlohmann::json::accept(response->body))
        co_return Failure { .code = Errc::Malformed,
            .verdict = Verdict::MayHaveRun,
            .detail = "the response body of the engine is not a JSON object" };
    co_return response;
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> HttpEngineClient::openStream(
    Address engine, EngineRequest request, AttemptLimits limits)
{
    const auto attemptId = request.attemptId;
    auto message = inferenceRequest(std::move(request));
    auto stream = co_await openChecked(m_client, engine, std::move(message), attemptId, attemptOptions(limits));
    if (!stream)
        co_return stream.error();
    co_return toEngineStream(m_client, std::move(engine), std::move(*stream), 0);
}

asio::awaitable<Result<std::unique_ptr<EngineStream>>> HttpEngineClient::resumeStream(Address engine,
    std::string attemptId, std::string cacheSalt, std::optional<std::uint64_t> lastOffset, AttemptLimits limits)
{
    auto message = streamRequest("GET", attemptId, std::move(cacheSalt));
    if (lastOffset)
        message.headers.set("Last-Event-ID", std::to_string(*lastOffset));
    auto stream = co_await openChecked(m_client, engine, std::move(message), attemptId, attemptOptions(limits));
    if (!stream)
        co_return withMayHaveRun(stream.error());
    co_return toEngineStream(m_client, std::move(engine), std::move(*stream), lastOffset ? *lastOffset + 1 : 0);
}

asio::awaitable<Result<void>> HttpEngineClient::cancel(
    Address engine, std::string attemptId, std::string cacheSalt, SteadyTime deadline)
{
    auto message = streamRequest("DELETE", attemptId, std::move(cacheSalt));
    auto response
        = co_await callChecked(m_client, std::move(engine), std::move(message), attemptId, controlOptions(deadline));
    if (!response)
        co_return withMayHaveRun(response.error());
    if (response->status / 100 != 2 && response->status != 404)
        co_return statusFailure(response->status);
    co_return Result<void>();
}

asio::awaitable<Result<LoadReport>> HttpEngineClient::loadReport(Address engine, SteadyTime deadline)
{
    HttpRequest message;
    message.target = "/load";
    auto response = co_await callChecked(
        m_client, std::move(engine), std::move(message), randomId(), controlOptions(deadline), RequestIdEcho::Optional);
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return statusFailure(response->status);
    co_return parseLoadReport(response->body);
}

asio::awaitable<Result<void>> HttpEngineClient::order(Address engine, EngineOrder order, SteadyTime deadline)
{
    HttpRequest message;
    message.method = "POST";
    message.target = "/orders";
    message.headers.set("Content-Type", "application/json");
    message.body = formatOrder(order);
    auto options = controlOptions(deadline);
    // An order sent on a connection that broke while idle would get no response, and the planner would have to keep the
    // memory of the model reserved. Orders are rare enough to open a new connection for each.
    options.maxIdle = std::chrono::nanoseconds(0);
    auto response = co_await callChecked(
        m_client, std::move(engine), std::move(message), std::move(order.orderId), options, RequestIdEcho::Optional);
    if (!response)
        co_return response.error();
    if (response->status == 409)
        co_return Failure {
            .code = Errc::Conflict, .verdict = Verdict::NotRun, .detail = "the engine has seen a higher fencing number"
        };
    if (response->status == 507)
        co_return Failure {
            .code = Errc::Refused, .verdict = Verdict::NotRun, .detail = "the engine has too little memory"
        };
    if (response->status / 100 != 2)
        co_return statusFailure(response->status);
    co_return Result<void>();
}

} // namespace bulrushstack
