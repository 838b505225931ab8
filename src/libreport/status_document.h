#pragma once

#include "bulrushstack/kernel/runtime.h"
#include "operator_backend.h"

namespace bulrushstack {

/// Returns the JSON body of GET /operator/v1/status. The list of peers does not include this instance.
nlohmann::json statusDocument(const RuntimeService& runtime, const OperatorBackend& backend);

} // namespace bulrushstack
