#include "bulrushstack/engine/http_upstream_clients.h"
#include "bulrushstack/kernel/ids.h"
#include "engine_json.h"
#include "upstream_call.h"

namespace bulrushstack {

namespace asio = boost::asio;
using namespace detail;

namespace {

constexpr std::string_view keyPlaceholder = "{key}";

/// Replaces every placeholder in the path by the percent-encoded key. Returns an empty optional if there is no
/// placeholder.
std::optional<std::string> expandStatusPath(std::string path, std::string_view key)
{
    const auto encoded = percentEncode(key);
    bool isExpanded = false;
    for (auto at = path.find(keyPlaceholder); at != std::string::npos;
         at = path.find(keyPlaceholder, at + encoded.size())) {
        path.replace(at, keyPlaceholder.size(), encoded);
        isExpanded = true;
    }
    return isExpanded ? std::optional(path) : std::nullopt;
}

} // namespace

HttpServiceClient::HttpServiceClient(HttpClient& client)
    : m_client(client)
{
}

asio::awaitable<Result<HttpResponse>> HttpServiceClient::call(Address service, ServiceCall call, AttemptLimits limits)
{
    auto request = std::move(call.request);
    removeHopByHop(request.headers);
    // The body is sent immediately, without waiting for the interim response that "Expect: 100-continue" requests.
    request.headers.remove("Expect");
    if (!call.idempotencyKey.empty())
        request.headers.set("Idempotency-Key", std::move(call.idempotencyKey));
    HttpCallOptions options;
    options.deadline = limits.deadline;
    options.isLateResponseRead = true;
    options.progressTimeout = limits.progressTimeout;
    options.maxIdle = limits.maxIdle;
    co_return co_await callChecked(
        m_client, std::move(service), std::move(request), std::move(call.attemptId), options);
}

asio::awaitable<Result<ServiceCallStatus>> HttpServiceClient::status(
    Address service, std::string statusPath, std::string key, SteadyTime deadline)
{
    auto target = expandStatusPath(std::move(statusPath), key);
    if (!target)
        co_return Failure { .code = Errc::InvalidArgument,
            .verdict = Verdict::MayHaveRun,
            .detail = "the status path has no {key} placeholder" };
    HttpRequest request;
    request.target = std::move(*target);
    HttpCallOptions options;
    options.deadline = deadline;
    auto response = co_await callChecked(m_client, std::move(service), std::move(request), randomId(), options);
    // The verdict of a failed status request concerns that request only. It does not show whether the call was
    // executed.
    if (!response)
        co_return withMayHaveRun(response.error());
    co_return parseCallStatus(response->status, response->body);
}

} // namespace bulrushstack
