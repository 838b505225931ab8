#include "bulrushstack/net/metrics_response.h"

#include <prometheus/text_serializer.h>

namespace bulrushstack {

HttpResponse metricsResponse(const prometheus::Registry& registry)
{
    HttpResponse response;
    response.headers.set("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
    response.body = prometheus::TextSerializer().Serialize(registry.Collect());
    return response;
}

} // namespace bulrushstack
