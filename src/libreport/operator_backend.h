#pragma once

#include "bulrushstack/config/configuration_store.h"
#include "bulrushstack/membership/directory.h"

namespace bulrushstack {

/// The state of this instance that the operator API reads and changes.
class OperatorBackend {
public:
    virtual ~OperatorBackend() = default;

    virtual ConfigurationPtr configuration() const = 0;

    /// Activates the configuration if its revision is higher than the active one; returns whether it was activated.
    virtual bool activateConfiguration(ConfigurationPtr configuration) = 0;

    virtual ConfigurationStore& store() = 0;
    virtual std::vector<PeerView> peers() const = 0;

    /// Returns the time since the list that names the peers was requested; max() before the first.
    virtual std::chrono::nanoseconds instanceListAge() const = 0;

    virtual UpstreamSnapshot upstreams() const = 0;
};

} // namespace bulrushstack
