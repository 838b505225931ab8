#include "operator_api.h"

#include "bulrushstack/config/configuration_json.h"
#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/net/metrics_response.h"
#include "status_document.h"

#include <charconv>
#include <glog/logging.h>

namespace bulrushstack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds changeTimeout = 10s;
constexpr std::chrono::seconds readTimeout = 5s;
/// Limits how long the response to an accepted change is delayed if its document cannot be read back from the store.
/// The configuration follower activates the change later in that case.
constexpr std::chrono::seconds readBackTimeout = 1s;
constexpr std::string_view changesPath = "/operator/v1/changes";

/// Returns an error response for a request that was not executed.
HttpResponse rejectRequest(ProblemCode code, std::string detail, const std::string& requestId)
{
    return problemResponse(
        { .code = code, .detail = std::move(detail), .verdict = Verdict::NotRun, .retryAfter = {} }, requestId);
}

HttpResponse storeUnavailableResponse(const Failure& failure, const std::string& requestId)
{
    const Problem problem {
        .code = ProblemCode::StoreUnavailable, .detail = failure.detail, .verdict = failure.verdict, .retryAfter = 1s
    };
    return problemResponse(problem, requestId);
}

/// Parses a JSON body and rejects deep nesting, since copying and serializing a document recurse once for each level.
Result<nlohmann::json> parseBody(const std::string& body)
{
    static constexpr int maxDepth = 32;
    bool isTooDeep = false;
    const auto checkDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return depth <= maxDepth;
    };
    Failure failure { .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = {} };
    try {
        auto out = nlohmann::json::parse(body, checkDepth);
        if (!isTooDeep)
            return out;
        failure.detail = "the body is nested more than " + std::to_string(maxDepth) + " levels deep";
    } catch (const nlohmann::json::exception& e) {
        failure.detail = std::string("the body is not JSON: ") + e.what();
    }
    return failure;
}

std::string describeChanges(const std::vector<ConfigurationRecord>& records)
{
    std::string out;
    for (const auto& record : records) {
        out += (out.empty() ? "revision " : "; revision ") + std::to_string(record.revision) + " by " + record.author
            + " changed";
        for (const auto& [kind, name] : record.objects)
            out += " " + kind + " " + name;
    }
    return out;
}

HttpResponse conflictResponse(const std::vector<ConfigurationRecord>& competing, const std::string& requestId)
{
    auto records = nlohmann::json::array();
    for (const auto& it : competing)
        records.push_back(toJson(it));
    const nlohmann::json document { { "type", "urn:bulrushstack:problem:conflict" },
        { "title", "The object was changed since the base revision" }, { "status", 409 },
        { "detail", describeChanges(competing) }, { "verdict", toString(Verdict::NotRun) }, { "request_id", requestId },
        { "competing", std::move(records) } };
    auto response = jsonResponse(409, document.dump());
    response.headers.set("Content-Type", "application/problem+json");
    return response;
}

HttpResponse methodNotAllowed(std::string permitted, const std::string& requestId)
{
    auto response = rejectRequest(ProblemCode::MethodNotAllowed, "permitted: " + permitted, requestId);
    response.headers.set("Allow", std::move(permitted));
    return response;
}

HttpResponse documentResponse(const nlohmann::json& document)
{
    return jsonResponse(200, document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// Returns the query parameter "limit", the maximum number of records to return, or its default without a query;
/// std::nullopt if the query is invalid.
std::optional<std::size_t> parseHistoryLimit(std::string_view query)
{
    static constexpr std::size_t defaultLimit = 100;
    static constexpr std::size_t maximumLimit = 1000;
    if (query.empty())
        return defaultLimit;
    const auto text = queryParameter(query, "limit");
    std::size_t limit = 0;
    if (!text)
        return std::nullopt;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), limit);
    const bool isNumber = ec == std::errc() && end == text->data() + text->size();
    return isNumber && limit >= 1 && limit <= maximumLimit ? std::optional(limit) : std::nullopt;
}

} // namespace

OperatorApi::OperatorApi(RuntimeService& runtime, OperatorBackend& backend, std::string_view token)
    : m_runtime(runtime)
    , m_backend(backend)
    , m_tokenDigest(sha256Hex(token))
{
}

asio::awaitable<void> OperatorApi::handle(HttpExchange& exchange)
{
    const Call call { .request = exchange.request(), .requestId = randomId() };
    auto response = co_await dispatch(call);
    co_await exchange.respond(std::move(response));
}

HttpResponse OperatorApi::protocolError(unsigned status, std::string_view detail)
{
    return problemResponse(protocolProblem(status, detail), randomId());
}

std::optional<HttpResponse> OperatorApi::checkAuthorization(const Call& call) const
{
    static constexpr std::string_view scheme = "Bearer ";
    const auto header = call.request.headers.find("Authorization");
    if (!header || !header->starts_with(scheme))
        return rejectRequest(
            ProblemCode::MissingToken, "the header Authorization: Bearer TOKEN is required", call.requestId);
    // The comparison uses digests, which have a fixed length, so that its time does not reveal the length of the token.
    const auto digest = sha256Hex(std::string_view(*header).substr(scheme.size()));
    if (call.request.headers.count("Authorization") != 1 || !equalInConstantTime(digest, m_tokenDigest))
        return rejectRequest(ProblemCode::InvalidToken, "the token does not match the operator token", call.requestId);
    return std::nullopt;
}

asio::awaitable<HttpResponse> OperatorApi::dispatch(Call call)
{
    const auto path = call.request.path();
    if (path == "/metrics")
        co_return call.request.method == "GET" ? getMetrics() : methodNotAllowed("GET", call.requestId);
    if (auto rejection = checkAuthorization(call))
        co_return std::move(*rejection);
    const bool isGet = call.request.method == "GET";
    if (path == changesPath) {
        if (call.request.method != "POST")
            co_return methodNotAllowed("POST", call.requestId);
        co_return co_await postChange(call);
    }
    const bool isChangePath = path.starts_with(std::string(changesPath) + "/");
    const bool isKnownPath = isChangePath || path == "/operator/v1/status" || path == "/operator/v1/config"
        || path == "/operator/v1/history";
    if (!isKnownPath)
        co_return rejectRequest(ProblemCode::NotFound,
            "permitted: /metrics and status, config, changes and history under /operator/v1/", call.requestId);
    if (!isGet)
        co_return methodNotAllowed("GET", call.requestId);
    if (isChangePath)
        co_return co_await getChange(call);
    if (path == "/operator/v1/status")
        co_return documentResponse(statusDocument(m_runtime, m_backend));
    if (path == "/operator/v1/config")
        co_return documentResponse(redactTokens(m_backend.configuration()->document()));
    co_return co_await getHistory(call);
}

HttpResponse OperatorApi::getMetrics() { return metricsResponse(m_runtime.metrics()); }

asio::awaitable<HttpResponse> OperatorApi::getChange(Call call)
{
    auto changeId = percentDecode(call.request.path().substr(changesPath.size() + 1));
    if (!changeId)
        co_return rejectRequest(
            ProblemCode::MalformedRequest, "the change id contains an invalid percent escape", call.requestId);
    auto record = co_await m_backend.store().findChange(std::move(*changeId), m_runtime.clock().now() + readTimeout);
    if (!record)
        co_return storeUnavailableResponse(record.error(), call.requestId);
    if (!*record)
        co_return rejectRequest(ProblemCode::NotFound, "no change with this id was accepted", call.requestId);
    co_return documentResponse(toJson(**record));
}

asio::awaitable<HttpResponse> OperatorApi::getHistory(Call call)
{
    const auto limit = parseHistoryLimit(call.request.query());
    if (!limit)
        co_return rejectRequest(
            ProblemCode::MalformedRequest, "limit must be an integer from 1 to 1000", call.requestId);
    auto records = co_await m_backend.store().history(*limit, m_runtime.clock().now() + readTimeout);
    if (!records)
        co_return storeUnavailableResponse(records.error(), call.requestId);
    auto out = nlohmann::json::array();
    for (const auto& it : *records)
        out.push_back(toJson(it));
    co_return documentResponse(out);
}

asio::awaitable<HttpResponse> OperatorApi::postChange(Call call)
{
    const auto body = parseBody(call.request.body);
    if (!body)
        co_return rejectRequest(ProblemCode::MalformedRequest, body.error().detail, call.requestId);
    const auto change = changeFromJson(*body);
    if (!change)
        co_return rejectRequest(ProblemCode::MalformedRequest, change.error().detail, call.requestId);
    auto outcome = co_await m_backend.store().apply(*change, m_runtime.clock().now() + changeTimeout);
    if (outcome.status == ChangeStatus::Accepted)
        co_await activateAcceptedChange();
    co_return changeResponse(call, *change, std::move(outcome));
}

/// Activates an accepted change on this instance without waiting for the next poll of the store.
asio::awaitable<void> OperatorApi::activateAcceptedChange()
{
    const auto deadline = m_runtime.clock().now() + readBackTimeout;
    auto head = co_await m_backend.store().head(deadline);
    if (!head || head->revision <= m_backend.configuration()->revision())
        co_return;
    auto configuration = co_await m_backend.store().fetch(*head, deadline);
    if (configuration)
        m_backend.activateConfiguration(std::move(*configuration));
}

HttpResponse OperatorApi::changeResponse(
    const Call& call, const ConfigurationChange& change, ChangeOutcome outcome) const
{
    switch (outcome.status) {
    case ChangeStatus::Accepted:
        LOG(INFO) << "event=change-accepted request=" << call.requestId << " revision=" << outcome.revision
                  << " change=" << change.changeId << " author=\"" << change.author
                  << "\" edits=" << change.edits.size();
        return documentResponse({ { "revision", outcome.revision }, { "change_id", change.changeId } });
    case ChangeStatus::Conflict:
        return conflictResponse(outcome.conflictingRecords, call.requestId);
    case ChangeStatus::Invalid:
        return jsonResponse(422, toJson(outcome.errors).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    case ChangeStatus::Unavailable:
        break;
    }
    LOG(WARNING) << "event=change-failed request=" << call.requestId << " verdict=" << toString(outcome.failure.verdict)
                 << " detail=\"" << outcome.failure.detail << "\"";
    outcome.failure.detail += "; the change may be resent with the same change id";
    return storeUnavailableResponse(outcome.failure, call.requestId);
}

} // namespace bulrushstack
