#pragma once

#include "bulrushstack/kernel/runtime.h"
#include "operator_backend.h"

namespace bulrushstack {

/// Returns the document of GET /operator/v1/status. This instance itself is not among the peers.
nlohmann::json statusDocument(const RuntimeService& runtime, const OperatorBackend& backend);

} // namespace bulrushstack
