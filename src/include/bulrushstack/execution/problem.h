#pragma once

#include "bulrushstack/kernel/verdict.h"
#include "bulrushstack/net/http.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Types of error responses to callers. Each has a fixed spelling, HTTP status and title.
enum class ProblemCode {
    MalformedRequest,
    IdempotencyKeyRequired,
    MissingToken,
    InvalidToken,
    UrgencyNotPermitted,
    ServiceNotPermitted,
    UnknownModel,
    UnknownService,
    NotFound,
    MethodNotAllowed,
    KeyConflict,
    OutcomeUnknown,
    KeyExpired,
    RequestTimeout,
    BodyTooLarge,
    HeadersTooLarge,
    Overloaded,
    QuotaExceeded,
    NoUpstream,
    StoreUnavailable,
    ShuttingDown,
    DeadlineExceeded,
    UpstreamFailed,
    InternalError,
};

/// An error response to a caller. The verdict says whether the request may have run on an upstream.
struct Problem {
    ProblemCode code = ProblemCode::InternalError;
    std::string detail;
    Verdict verdict = Verdict::NotRun;
    std::optional<std::chrono::seconds> retryAfter; ///< value of the header Retry-After

    friend bool operator==(const Problem&, const Problem&) = default;
};

/// Returns the problem for a request that the HTTP server itself rejected with the given status. The verdict is NotRun,
/// except for status 500: a handler that failed may have sent the request to an upstream.
Problem protocolProblem(unsigned status, std::string_view detail);

/// Returns the last part of the type URN, such as "unknown-model".
std::string_view toString(ProblemCode code);

/// Returns the HTTP status of the code.
unsigned statusOf(ProblemCode code);

/// Returns the problem document as JSON text (RFC 9457 with the fields verdict and request_id).
std::string problemJson(const Problem& problem, std::string_view requestId);

/// Returns the HTTP response for a problem, with Bulrush-Request-Id and Bulrush-Verdict, and Retry-After if the problem
/// sets it. A response with status 503 always has Retry-After, by default 1 s.
HttpResponse problemResponse(const Problem& problem, std::string_view requestId);

} // namespace bulrushstack
