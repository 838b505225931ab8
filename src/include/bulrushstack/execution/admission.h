#pragma once

#include "bulrushstack/execution/model_requests.h"
#include "bulrushstack/execution/problem.h"
#include "bulrushstack/execution/request_context.h"
#include "bulrushstack/execution/service_calls.h"

#include <string>
#include <string_view>
#include <variant>

namespace bulrushstack {

/// The validated value, or the problem with which the request is refused before it reaches an upstream. Such a problem
/// always has the verdict NotRun.
template <typename T> using AdmissionResult = std::variant<T, Problem>;

/// Bounds on the JSON body of a model request.
struct BodyLimits {
    int maxNestingDepth = 64; ///< deepest nesting of objects and arrays
    std::uint64_t maxTokens = 131072; ///< largest value of max_tokens and max_completion_tokens
};

/// Refuses a request in which a single-valued header is repeated, or which has an unknown header with the prefix
/// "Bulrush-". Without this check, a misspelt deadline header would be ignored silently.
std::optional<Problem> checkRequestHeaders(const HttpHeaders& headers);

/// Returns the team that the bearer token identifies.
AdmissionResult<const Team*> authenticate(const Configuration& configuration, const HttpHeaders& headers);

/// Returns the time limit of the request from Bulrush-Deadline, or the default of the team if the header is absent.
AdmissionResult<std::chrono::nanoseconds> deadlineFromHeaders(const Team& team, const HttpHeaders& headers);

/// Returns the urgency from Bulrush-Urgency, or the default of the team if the header is absent.
AdmissionResult<Urgency> urgencyFromHeaders(const Team& team, const HttpHeaders& headers);

/// Returns the value of Idempotency-Key, or an empty string if the header is absent.
AdmissionResult<std::string> idempotencyKeyFromHeaders(const HttpHeaders& headers);

/// Authenticates the request, validates its headers and returns its context. The deadline is relative to `now`.
AdmissionResult<RequestContext> admitRequest(
    ConfigurationPtr configuration, const HttpHeaders& headers, std::string requestId, SteadyTime now);

/// Validates the body of a completion (path "/v1/completions") or chat completion ("/v1/chat/completions"). A model
/// that the team may not use gives the same problem as one that does not exist, so that model names do not leak to
/// other teams.
AdmissionResult<ModelRequest> admitModelRequest(
    const RequestContext& context, std::string_view path, std::string body, const BodyLimits& limits);

/// Validates a request for /services/NAME/PATH. The percent-encoding of the path is normalised, so that each resource
/// has one spelling when the path is matched against the call rules of the configuration.
AdmissionResult<ServiceRequest> admitServiceRequest(const RequestContext& context, const HttpRequest& request);

/// Removes the hop-by-hop headers, including those that the Connection header names (RFC 9110, 7.6.1).
void removeHopByHopHeaders(HttpHeaders& headers);

} // namespace bulrushstack
