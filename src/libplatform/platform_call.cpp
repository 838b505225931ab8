#include "platform_call.h"

namespace bulrushstack::detail {

namespace asio = boost::asio;

namespace {

/// Time without any data from the server after which a retryable call is retried on a new connection. The platform
/// responds within milliseconds, and the callers' deadlines of a second or more leave time for the second attempt.
constexpr std::chrono::milliseconds firstAttemptProgressTimeout { 500 };

/// Maximum idle time of a pooled connection that is used for a call without retry. If the connection was lost while
/// idle, the verdict would be MayHaveRun instead of NotRun.
constexpr std::chrono::seconds maxWriteConnectionIdle { 1 };

Failure toPlatformFailure(Failure failure)
{
    if (failure.code == Errc::TooLarge)
        failure.code = Errc::Malformed;
    else if (failure.code != Errc::Timeout && failure.code != Errc::Malformed)
        failure.code = Errc::Unavailable;
    return failure;
}

asio::awaitable<Result<HttpResponse>> callOnce(
    HttpClient& client, Address address, HttpRequest request, HttpCallOptions options)
{
    auto response = co_await client.call(address, std::move(request), options);
    if (response)
        co_return response;
    auto failure = toPlatformFailure(response.error());
    if (failure.code == Errc::Timeout)
        client.closeIdleConnections(address);
    co_return failure;
}

} // namespace

asio::awaitable<Result<HttpResponse>> callPlatform(
    HttpClient& client, Address address, HttpRequest request, SteadyTime deadline, RetryMode retryMode)
{
    HttpCallOptions options;
    options.deadline = deadline;
    if (retryMode == RetryMode::Never)
        options.maxIdle = maxWriteConnectionIdle;
    else
        options.progressTimeout = firstAttemptProgressTimeout;
    auto response = co_await callOnce(client, address, request, options);
    const bool shouldRetry = retryMode == RetryMode::OnNewConnection && response.has_error()
        && response.error().verdict != Verdict::NotRun && response.error().code != Errc::Malformed;
    if (!shouldRetry)
        co_return response;

    options.maxIdle = {};
    options.progressTimeout = {};
    auto retried = co_await callOnce(client, std::move(address), std::move(request), options);
    if (retried)
        co_return retried;
    auto failure = retried.error();
    failure.verdict = join(failure.verdict, response.error().verdict);
    co_return failure;
}

Failure unexpectedStatus(const HttpResponse& response, std::string_view operation)
{
    return {
        .code = response.status / 100 == 5 ? Errc::Unavailable : Errc::Malformed,
        .verdict = response.status == 503 ? Verdict::NotRun : Verdict::MayHaveRun,
        .detail = std::string(operation) + ": unexpected status " + std::to_string(response.status),
    };
}

Failure malformedResponse(std::string_view operation, Verdict verdict)
{
    return {
        .code = Errc::Malformed, .verdict = verdict, .detail = std::string(operation) + ": the response is malformed"
    };
}

} // namespace bulrushstack::detail
