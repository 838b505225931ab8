#pragma once

#include "bulrushstack/kernel/verdict.h"
#include "bulrushstack/net/http.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Kinds of error answers to callers; each has a fixed spelling, status and title.
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
    BodyTooLarge,
    HeadersTooLarge,
    Overloaded,
    NoUpstream,
    StoreUnavailable,
    ShuttingDown,
    DeadlineExceeded,
    UpstreamFailed,
    InternalError,
};

/// An error answer to a caller. The verdict says whether the request may have run.
struct Problem {
    ProblemCode code = ProblemCode::InternalError;
    std::string detail;
    Verdict verdict = Verdict::NotRun;
    std::optional<std::chrono::seconds> retryAfter;

    friend bool operator==(const Problem&, const Problem&) = default;
};

/// Returns the problem for a status with which the HTTP server refuses a request on its own. Only after an internal
/// error (500) the request may have run.
Problem protocolProblem(unsigned status, std::string_view detail);

/// Returns the spelling in the type URN, such as "unknown-model".
std::string_view toString(ProblemCode code);

/// Returns the HTTP status of the code.
unsigned statusOf(ProblemCode code);

/// Returns the problem document as JSON text (RFC 9457 with the fields verdict and request_id).
std::string problemJson(const Problem& problem, std::string_view requestId);

/// Returns the response, with Retry-After, Bulrush-Request-Id and Bulrush-Verdict. Answers with status 503 always
/// carry Retry-After; it is 1 s if the problem names none.
HttpResponse problemResponse(const Problem& problem, std::string_view requestId);

} // namespace bulrushstack
