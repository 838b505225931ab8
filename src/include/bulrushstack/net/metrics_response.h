#pragma once

#include "bulrushstack/net/http.h"

#include <prometheus/registry.h>

namespace bulrushstack {

/// Returns a response with all metrics of the registry in the Prometheus text exposition format.
HttpResponse metricsResponse(const prometheus::Registry& registry);

} // namespace bulrushstack
