#pragma once

#include "bulrushstack/execution/model_requests.h"
#include "bulrushstack/execution/problem.h"
#include "bulrushstack/execution/request_context.h"
#include "bulrushstack/execution/service_calls.h"

#include <string>
#include <string_view>
#include <variant>

namespace bulrushstack {

/// An admitted part of a request, or the refusal. Every refusal has the verdict NotRun.
template <typename T> using AdmissionResult = std::variant<T, Problem>;

/// Bounds on the JSON body of a model request.
struct BodyLimits {
    int maxNestingDepth = 64; ///< objects and arrays inside each other
    std::uint64_t maxTokens = 131072; ///< largest value of max_tokens
};

/// Refuses a request header that is repeated or that has the prefix "Bulrush-" and is not known. A misspelt deadline
/// would otherwise be ignored.
std::optional<Problem> checkRequestHeaders(const HttpHeaders& headers);

/// Returns the team that the bearer token identifies.
AdmissionResult<const Team*> authenticate(const Configuration& configuration, const HttpHeaders& headers);

/// Returns the time that the request may take, within the limits of the team.
AdmissionResult<std::chrono::nanoseconds> deadlineFromHeaders(const Team& team, const HttpHeaders& headers);

AdmissionResult<Urgency> urgencyFromHeaders(const Team& team, const HttpHeaders& headers);

/// Returns the key, or an empty string if the request has none.
AdmissionResult<std::string> idempotencyKeyFromHeaders(const HttpHeaders& headers);

/// Checks all headers and returns the context of the request, with its deadline counted from `now`.
AdmissionResult<RequestContext> admitRequest(
    ConfigurationPtr configuration, const HttpHeaders& headers, std::string requestId, SteadyTime now);

/// Checks the body of a completion (path "/v1/completions") or chat completion ("/v1/chat/completions"). A model that
/// the team may not use gets the same answer as one that does not exist.
AdmissionResult<ModelRequest> admitModelRequest(
    const RequestContext& context, std::string_view path, std::string body, const BodyLimits& limits);

/// Checks a request for /services/NAME/PATH. The path is normalised: characters that a path may hold are decoded, all
/// others are encoded, so that one resource has one spelling when call rules are matched.
AdmissionResult<ServiceRequest> admitServiceRequest(const RequestContext& context, const HttpRequest& request);

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1).
void removeHopByHopHeaders(HttpHeaders& headers);

} // namespace bulrushstack
