#pragma once

#include "standin.h"

namespace bulrushstack::standins {

/// Returns the refusal that states that the request did not start: 503 with X-Not-Started: 1.
HttpResponse notStartedResponse();

/// Answers as the action demands: refuse sends notStartedResponse(), cut a part of the response, mute nothing until the
/// client goes, drop and lose-answer close the connection. Without an action the response is sent.
///
/// Whether the work was done is the caller's business; see isRequestExecuted(). The X-Request-Id of the request is echoed
/// unless the response has one.
boost::asio::awaitable<void> respondWithFault(
    HttpExchange& exchange, std::optional<FaultAction> action, HttpResponse response);

/// Returns whether a fault that strikes before the work lets the work happen: lose-answer and cut do.
bool isRequestExecuted(std::optional<FaultAction> action);

} // namespace bulrushstack::standins
