#pragma once

#include "standin.h"

namespace bulrushstack::standins {

/// Returns status 503 with `X-Not-Started: 1`, which tells the client that the request was not executed.
HttpResponse notStartedResponse();

/// Sends the response, or applies the fault action in its place: Refuse sends notStartedResponse(), Cut sends the first
/// half of the body and closes the connection, Mute sends nothing until the client closes the connection, Drop and
/// LoseAnswer close the connection without a response. Sends the response unchanged if there is no action.
///
/// The caller executes the request before this call, or skips it, according to isRequestExecuted(). The X-Request-Id of
/// the request is copied to the response unless the response already has one.
boost::asio::awaitable<void> respondWithFault(
    HttpExchange& exchange, std::optional<FaultAction> action, HttpResponse response);

/// Returns whether the request is executed despite a fault that was injected before execution: true without an action
/// and for LoseAnswer and Cut, which affect only the response.
bool isRequestExecuted(std::optional<FaultAction> action);

} // namespace bulrushstack::standins
