#pragma once

#include "bulrushstack/kernel/clock.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace bulrushstack {

/// Models and adapters that this instance knows to be loaded or missing on an upstream before the upstream's directory
/// row shows it. The information comes from the placement holder and from rejected requests. A hint overrides the
/// directory row for a few seconds.
class ResidencyHints {
public:
    explicit ResidencyHints(const Clock& clock);

    /// Records that the upstream has the model, or the adapter of the model, loaded. `adapter` is empty for the model
    /// itself.
    void recordPresent(const std::string& upstream, const std::string& model, const std::string& adapter);
    /// Records that the upstream does not have the model, or the adapter of the model, loaded.
    void recordAbsent(const std::string& upstream, const std::string& model, const std::string& adapter);

    /// Returns whether the model or adapter is loaded according to a hint that has not expired; empty if there is none.
    std::optional<bool> find(const std::string& upstream, const std::string& model, const std::string& adapter) const;

    /// Removes expired hints.
    void expire();

private:
    using Key = std::tuple<std::string, std::string, std::string>;

    struct Hint {
        bool isPresent = false;
        SteadyTime time {};
    };

    bool isValid(const Hint& hint) const;

    const Clock& m_clock;
    std::map<Key, Hint> m_hints;
};

} // namespace bulrushstack
