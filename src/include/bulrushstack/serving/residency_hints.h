#pragma once

#include "bulrushstack/kernel/clock.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace bulrushstack {

/// What this instance has learnt about models and adapters of upstreams since they last described themselves: from
/// the holder of the placement lease and from refusals. A hint goes before the description for a short time.
class ResidencyHints {
public:
    explicit ResidencyHints(const Clock& clock);

    void recordPresent(const std::string& upstream, const std::string& model, const std::string& adapter);
    void recordAbsent(const std::string& upstream, const std::string& model, const std::string& adapter);

    /// Returns what is known beside the description; empty if nothing is.
    std::optional<bool> find(const std::string& upstream, const std::string& model, const std::string& adapter) const;

    /// Drops hints that are too old.
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
