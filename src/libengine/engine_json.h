#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/engine/service_client.h"

#include <string_view>

namespace bulrushstack::detail {

/// Parses the answer to GET /load. Errc::Malformed if a field is missing, has another type or an unknown value.
Result<LoadReport> parseLoadReport(std::string_view body);

/// Parses the answer to a status read. Errc::Malformed if it is not the documented form for the status: only the
/// documented form proves that a call was not executed.
Result<ServiceCallStatus> parseCallStatus(unsigned status, std::string_view body);

/// Returns the body of POST /orders.
std::string formatOrder(const EngineOrder& order);

} // namespace bulrushstack::detail
