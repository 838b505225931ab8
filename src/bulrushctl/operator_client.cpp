#include "operator_client.h"

#include "bulrushstack/config/configuration_json.h"
#include "bulrushstack/kernel/tasks.h"
#include "views.h"

namespace bulrushstack {

namespace asio = boost::asio;

namespace {

constexpr unsigned firstServerError = 500;

/// Returns whether a change with this answer is certain to have been accepted or refused.
bool isCertain(const Result<OperatorAnswer>& answer) { return answer && answer->status < firstServerError; }

Verdict verdictOf(const Result<OperatorAnswer>& answer)
{
    if (!answer)
        return answer.error().verdict;
    const auto verdict = answer->body.is_object() ? answer->body.value("verdict", nlohmann::json()) : nlohmann::json();
    const auto parsed = verdict.is_string() ? parseVerdict(verdict.get<std::string>()) : std::nullopt;
    return parsed.value_or(Verdict::MayHaveRun);
}

/// Raises the verdict of the last answer to that of all attempts.
Result<OperatorAnswer> withVerdict(Result<OperatorAnswer> answer, Verdict verdict)
{
    if (!answer) {
        auto failure = answer.error();
        failure.verdict = verdict;
        return failure;
    }
    if (answer->body.is_object())
        answer->body["verdict"] = toString(verdict);
    return answer;
}

} // namespace

OperatorClient::OperatorClient(asio::io_context& context, const Clock& clock, OperatorClientOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_client(context, clock)
{
}

asio::awaitable<Result<OperatorAnswer>> OperatorClient::call(HttpRequest request)
{
    request.headers.set("Authorization", "Bearer " + m_options.token);
    HttpCallOptions options;
    options.deadline = m_clock.now() + m_options.timeout;
    auto response = co_await m_client.call(m_options.address, std::move(request), options);
    if (!response)
        co_return response.error();
    OperatorAnswer answer;
    answer.status = response->status;
    answer.body = nlohmann::json::parse(response->body, nullptr, false);
    if (answer.body.is_discarded())
        co_return Failure { .code = Errc::Malformed,
            .verdict = Verdict::MayHaveRun,
            .detail = "status " + std::to_string(answer.status) + " with a body that is not JSON" };
    co_return answer;
}

asio::awaitable<Result<OperatorAnswer>> OperatorClient::get(std::string target)
{
    HttpRequest request;
    request.target = std::move(target);
    co_return co_await call(std::move(request));
}

asio::awaitable<Result<OperatorAnswer>> OperatorClient::sendChange(ConfigurationChange change)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/operator/v1/changes";
    request.headers.set("Content-Type", "application/json");
    request.body = toJson(change).dump();
    const auto readBackTarget = "/operator/v1/changes/" + percentEncode(change.changeId);
    auto verdict = Verdict::NotRun;
    std::chrono::nanoseconds delay = m_options.firstDelay;
    for (int attempt = 1;; ++attempt) {
        auto answer = co_await call(request);
        if (isCertain(answer))
            co_return answer;
        verdict = join(verdict, verdictOf(answer));
        if (verdict != Verdict::NotRun) {
            auto found = co_await get(readBackTarget);
            if (found && found->status == 200)
                co_return found;
        }
        if (attempt >= m_options.attempts)
            co_return withVerdict(std::move(answer), verdict);
        co_await sleepFor(m_context, delay);
        delay *= 2;
    }
}

asio::awaitable<std::vector<std::string>> OperatorClient::waitInForce(
    std::uint64_t revision, std::chrono::nanoseconds timeout)
{
    static constexpr std::chrono::milliseconds pollInterval { 100 };
    const auto deadline = m_clock.now() + timeout;
    while (true) {
        std::vector<std::string> behind { "the instance does not report its status" };
        auto status = co_await get("/operator/v1/status");
        if (status && status->status == 200)
            behind = instancesBehind(status->body, revision);
        if (behind.empty() || m_clock.now() >= deadline)
            co_return behind;
        co_await sleepFor(m_context, pollInterval);
    }
}

} // namespace bulrushstack
