#pragma once

#include "bulrushstack/net/http_client.h"

#include <string_view>

namespace bulrushstack::detail {

/// Whether a call to the platform is retried once, on a new connection, after its connection was lost or stopped
/// responding.
enum class RetryMode {
    Never,
    OnNewConnection,
};

/// Sends a request to the platform and returns its response, whatever the status. Failures have the code Errc::Timeout,
/// Errc::Unavailable or Errc::Malformed; their verdict combines the verdicts of all attempts. After a timeout, all idle
/// connections to the address are closed, because they may have stopped responding as well.
boost::asio::awaitable<Result<HttpResponse>> callPlatform(
    HttpClient& client, Address address, HttpRequest request, SteadyTime deadline, RetryMode retryMode);

/// Returns the failure for an unexpected status: Errc::Unavailable for 5xx, otherwise Errc::Malformed. The verdict is
/// NotRun only for 503, with which the platform rejects requests during an outage before it executes them.
Failure unexpectedStatus(const HttpResponse& response, std::string_view operation);

/// Returns the failure for a response whose body is invalid.
Failure malformedResponse(std::string_view operation, Verdict verdict);

} // namespace bulrushstack::detail
