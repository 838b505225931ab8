#include "bulrushstack/execution/problem.h"

#include <nlohmann/json.hpp>

namespace bulrushstack {

namespace {

struct ProblemDefinition {
    std::string_view spelling;
    unsigned status;
    std::string_view title;
};

constexpr ProblemDefinition definitionOf(ProblemCode code)
{
    switch (code) {
    case ProblemCode::MalformedRequest:
        return { "malformed-request", 400, "The request is malformed" };
    case ProblemCode::IdempotencyKeyRequired:
        return { "idempotency-key-required", 400, "The call is not idempotent and needs an Idempotency-Key" };
    case ProblemCode::QuotaExceeded:
        return { "quota-exceeded", 429, "The team has used up its quota" };
    case ProblemCode::MissingToken:
        return { "missing-token", 401, "A bearer token is required" };
    case ProblemCode::InvalidToken:
        return { "invalid-token", 401, "The bearer token is not valid" };
    case ProblemCode::UrgencyNotPermitted:
        return { "urgency-not-permitted", 403, "The team may not use this urgency" };
    case ProblemCode::ServiceNotPermitted:
        return { "service-not-permitted", 403, "The team may not use this service" };
    case ProblemCode::UnknownModel:
        return { "unknown-model", 404, "The model does not exist" };
    case ProblemCode::UnknownService:
        return { "unknown-service", 404, "The service does not exist" };
    case ProblemCode::NotFound:
        return { "not-found", 404, "There is nothing at this path" };
    case ProblemCode::MethodNotAllowed:
        return { "method-not-allowed", 405, "The path does not support this method" };
    case ProblemCode::KeyConflict:
        return { "key-conflict", 409, "The idempotency key was used for another request" };
    case ProblemCode::OutcomeUnknown:
        return { "outcome-unknown", 409, "An earlier attempt with this key has no known outcome" };
    case ProblemCode::KeyExpired:
        return { "key-expired", 409, "The idempotency key is older than its retention" };
    case ProblemCode::RequestTimeout:
        return { "request-timeout", 408, "The request was not complete in time" };
    case ProblemCode::BodyTooLarge:
        return { "body-too-large", 413, "The request body is too large" };
    case ProblemCode::HeadersTooLarge:
        return { "headers-too-large", 431, "The request header is too large" };
    case ProblemCode::Overloaded:
        return { "overloaded", 503, "There is no capacity for the request" };
    case ProblemCode::NoUpstream:
        return { "no-upstream", 503, "No upstream can serve the request" };
    case ProblemCode::StoreUnavailable:
        return { "store-unavailable", 503, "The request cannot be recorded" };
    case ProblemCode::ShuttingDown:
        return { "shutting-down", 503, "The instance is shutting down" };
    case ProblemCode::DeadlineExceeded:
        return { "deadline-exceeded", 504, "The deadline has passed" };
    case ProblemCode::UpstreamFailed:
        return { "upstream-failed", 502, "The upstream failed" };
    case ProblemCode::InternalError:
        break;
    }
    return { "internal-error", 500, "Internal error" };
}

std::optional<std::chrono::seconds> retryAfterOf(const Problem& problem)
{
    if (!problem.retryAfter && statusOf(problem.code) == 503)
        return std::chrono::seconds(1);
    return problem.retryAfter;
}

} // namespace

Problem protocolProblem(unsigned status, std::string_view detail)
{
    auto code = ProblemCode::MalformedRequest;
    for (auto it : { ProblemCode::RequestTimeout, ProblemCode::BodyTooLarge, ProblemCode::HeadersTooLarge,
             ProblemCode::Overloaded, ProblemCode::InternalError }) {
        if (statusOf(it) == status)
            code = it;
    }
    const auto verdict = code == ProblemCode::InternalError ? Verdict::MayHaveRun : Verdict::NotRun;
    return { .code = code, .detail = std::string(detail), .verdict = verdict, .retryAfter = {} };
}

std::string_view toString(ProblemCode code) { return definitionOf(code).spelling; }

unsigned statusOf(ProblemCode code) { return definitionOf(code).status; }

std::string problemJson(const Problem& problem, std::string_view requestId)
{
    const auto definition = definitionOf(problem.code);
    const nlohmann::ordered_json document {
        { "type", "urn:bulrushstack:problem:" + std::string(definition.spelling) },
        { "title", definition.title },
        { "status", definition.status },
        { "detail", problem.detail },
        { "verdict", toString(problem.verdict) },
        { "request_id", requestId },
    };
    return document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

HttpResponse problemResponse(const Problem& problem, std::string_view requestId)
{
    HttpResponse response;
    response.status = statusOf(problem.code);
    response.headers.set("Content-Type", "application/problem+json");
    response.headers.set("Bulrush-Request-Id", std::string(requestId));
    response.headers.set("Bulrush-Verdict", std::string(toString(problem.verdict)));
    if (auto delay = retryAfterOf(problem))
        response.headers.set("Retry-After", std::to_string(delay->count()));
    if (response.status == 401)
        response.headers.set("WWW-Authenticate", "Bearer");
    response.body = problemJson(problem, requestId);
    return response;
}

} // namespace bulrushstack
