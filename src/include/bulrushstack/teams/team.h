#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// What a quota counts.
enum class QuotaUnit {
    Requests,
    Tokens, ///< prompt tokens and the maximum number of output tokens
};

/// Rate limit of a team, over all instances together.
struct QuotaSpec {
    QuotaUnit unit = QuotaUnit::Requests;
    double ratePerSecond = 0; ///< in units per second
    double burst = 0; ///< units that the team may use at once beside the rate
    double unitsWithoutTokenCount = 1; ///< weight of a request that names no token counts

    friend bool operator==(const QuotaSpec&, const QuotaSpec&) = default;
};

/// A customer whose callers identify themselves with the team's keys and share its quota.
struct TeamSpec {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< Replaces the priority of the route; 0 is the most urgent.
    std::optional<QuotaSpec> quota; ///< Empty if the team is not limited.

    friend bool operator==(const TeamSpec&, const TeamSpec&) = default;
};

} // namespace bulrushstack
