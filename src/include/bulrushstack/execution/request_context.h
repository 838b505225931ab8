#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/kernel/clock.h"

#include <string>

namespace bulrushstack {

/// What every step of a request needs to know. The request keeps the configuration under which it was admitted.
struct RequestContext {
    std::string requestId;
    ConfigurationPtr configuration;
    const Team* team = nullptr; ///< never null; owned by `configuration`
    Urgency urgency = Urgency::Interactive;
    SteadyTime deadline {};
};

} // namespace bulrushstack
