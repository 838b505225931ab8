#pragma once

#include "bulrushstack/kernel/settings.h"

#include <cstdint>
#include <optional>

namespace bulrushstack {

/// Says which instance holds the placement lease; implemented by LeaseManager.
class LeaseHolder {
public:
    virtual ~LeaseHolder() = default;

    /// Returns whether this instance holds the lease.
    virtual bool isHolder() const = 0;

    /// Returns a number that differs between two terms of this instance as the holder.
    virtual std::uint64_t term() const = 0;

    /// Returns the address of another instance that holds the lease and has replied recently; empty if there is none.
    virtual std::optional<Address> reachableHolder() const = 0;
};

} // namespace bulrushstack
