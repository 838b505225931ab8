#pragma once

#include "bulrushstack/net/http.h"
#include "schedule.h"

namespace bulrushstack::load {

/// Builds the HTTP request for a planned request. `runId` makes idempotency keys differ from those of earlier runs.
HttpRequest buildRequest(const Experiment& experiment, const PlannedRequest& planned, const std::string& runId);

} // namespace bulrushstack::load
