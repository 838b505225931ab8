#pragma once

#include "bulrushstack/net/http.h"

#include <prometheus/registry.h>

namespace bulrushstack {

/// Returns all metrics of the registry in the text format of Prometheus.
HttpResponse metricsResponse(const prometheus::Registry& registry);

} // namespace bulrushstack
