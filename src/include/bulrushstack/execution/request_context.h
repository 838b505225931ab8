#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/kernel/clock.h"

#include <string>

namespace bulrushstack {

/// Data that every processing step of a request needs. A request keeps using the configuration under which it was
/// admitted, even if a newer revision takes effect meanwhile.
struct RequestContext {
    std::string requestId;
    ConfigurationPtr configuration;
    const Team* team = nullptr; ///< never null; owned by `configuration`
    Urgency urgency = Urgency::Interactive;
    SteadyTime deadline {}; ///< when the response has to be complete
};

} // namespace bulrushstack
