#include "operator_client.h"

#include "bulrushstack/config/configuration_json.h"
#include "bulrushstack/kernel/tasks.h"
#include "output_format.h"

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

constexpr unsigned firstServerError = 500;

/// Returns whether the response proves that the change was accepted or rejected; a 5xx or a missing response does not.
bool isOutcomeKnown(const Result<OperatorResponse>& response)
{
    return response && response->status < firstServerError;
}

/// Returns the verdict of a failed attempt; MayHaveRun if the response body does not contain one.
Verdict readVerdict(const Result<OperatorResponse>& response)
{
    if (!response)
        return response.error().verdict;
    const auto verdict
        = response->body.is_object() ? response->body.value("verdict", nlohmann::json()) : nlohmann::json();
    const auto parsed = verdict.is_string() ? parseVerdict(verdict.get<std::string>()) : std::nullopt;
    return parsed.value_or(Verdict::MayHaveRun);
}

/// Replaces the verdict of the last response with the combined verdict of all attempts.
Result<OperatorResponse> withVerdict(Result<OperatorResponse> response, Verdict verdict)
{
    if (!response) {
        auto failure = response.error();
        failure.verdict = verdict;
        return failure;
    }
    if (response->body.is_object())
        response->body["verdict"] = toString(verdict);
    return response;
}

} // namespace

OperatorClient::OperatorClient(asio::io_context& context, const Clock& clock, OperatorClientOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_client(context, clock)
{
}

asio::awaitable<Result<OperatorResponse>> OperatorClient::call(HttpRequest request)
{
    request.headers.set("Authorization", "Bearer " + m_options.token);
    HttpCallOptions options;
    options.deadline = m_clock.now() + m_options.callTimeout;
    auto httpResponse = co_await m_client.call(m_options.address, std::move(request), options);
    if (!httpResponse)
        co_return httpResponse.error();
    OperatorResponse response;
    response.status = httpResponse->status;
    response.body = nlohmann::json::parse(httpResponse->body, nullptr, false);
    if (response.body.is_discarded())
        co_return Failure { .code = Errc::Malformed,
            .verdict = Verdict::MayHaveRun,
            .detail = "status " + std::to_string(response.status) + " with a body that is not JSON" };
    co_return response;
}

asio::awaitable<Result<OperatorResponse>> OperatorClient::get(std::string target)
{
    HttpRequest request;
    request.target = std::move(target);
    co_return co_await call(std::move(request));
}

asio::awaitable<Result<OperatorResponse>> OperatorClient::sendChange(ConfigurationChange change)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/operator/v1/changes";
    request.headers.set("Content-Type", "application/json");
    request.body = toJson(change).dump();
    const auto readBackTarget = "/operator/v1/changes/" + percentEncode(change.changeId);
    auto verdict = Verdict::NotRun;
    std::chrono::nanoseconds delay = m_options.initialRetryDelay;
    for (int attempt = 1;; ++attempt) {
        auto response = co_await call(request);
        if (isOutcomeKnown(response))
            co_return response;
        verdict = join(verdict, readVerdict(response));
        if (verdict != Verdict::NotRun) {
            auto found = co_await get(readBackTarget);
            if (found && found->status == 200)
                co_return found;
        }
        if (attempt >= m_options.maxAttempts)
            co_return withVerdict(std::move(response), verdict);
        co_await sleepFor(m_context, delay);
        delay *= 2;
    }
}

asio::awaitable<std::vector<std::string>> OperatorClient::waitForRevision(
    std::uint64_t revision, std::chrono::nanoseconds timeout)
{
    static constexpr std::chrono::milliseconds pollInterval { 100 };
    const auto acceptedAt = m_clock.now();
    const auto deadline = acceptedAt + timeout;
    while (true) {
        std::vector<std::string> lagging { "the instance does not report its status" };
        const auto askedAt = m_clock.now();
        auto response = co_await get("/operator/v1/status");
        if (response && response->status == 200) {
            lagging = laggingInstances(response->body, revision);
            // An older list may lack instances that were already ready when the change was accepted.
            if (!isInstanceListRecent(response->body, askedAt - acceptedAt))
                lagging.emplace_back("the instance list is older than the change");
        }
        if (lagging.empty() || m_clock.now() >= deadline)
            co_return lagging;
        co_await sleepFor(m_context, pollInterval);
    }
}

} // namespace bulrushstack
