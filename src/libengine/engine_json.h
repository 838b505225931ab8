#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/engine/service_client.h"

#include <string_view>

namespace bulrushstack::detail {

/// Parses the body of the response to GET /load. Fails with Errc::Malformed if a field is missing, has the wrong type
/// or an unknown value.
Result<LoadReport> parseLoadReport(std::string_view body);

/// Parses the response of a service's status endpoint. Fails with Errc::Malformed unless the body has exactly the
/// documented form for the HTTP status, since any other response, such as the 404 page of a proxy, does not prove that
/// the call was not executed.
Result<ServiceCallStatus> parseCallStatus(unsigned status, std::string_view body);

/// Returns the request body of POST /orders.
std::string formatOrder(const EngineOrder& order);

} // namespace bulrushstack::detail
