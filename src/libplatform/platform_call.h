#pragma once

#include "bulrushstack/net/http_client.h"

#include <string_view>

namespace bulrushstack::detail {

/// Whether a call to the platform is sent once more after its connection failed or went silent.
enum class RetryMode {
    Never,
    OnNewConnection,
};

/// Calls the platform. Failures have the code Errc::Timeout, Errc::Unavailable or Errc::Malformed; their verdict is the
/// join of the verdicts of all attempts. After a timeout all idle connections to the address are closed.
boost::asio::awaitable<Result<HttpResponse>> callPlatform(
    HttpClient& client, Address address, HttpRequest request, SteadyTime deadline, RetryMode retryMode);

/// Returns the failure for a status that the call does not expect: Errc::Unavailable for 5xx, else Errc::Malformed. The
/// verdict is NotRun only for 503, which the platform answers during an outage without doing anything.
Failure unexpectedStatus(const HttpResponse& response, std::string_view operation);

/// Returns the failure for an answer that cannot be understood.
Failure malformedResponse(std::string_view operation, Verdict verdict);

} // namespace bulrushstack::detail
