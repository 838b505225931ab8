#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/teams/team.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushstack {

/// The teams of one version of the configuration, found by name or by key. Immutable. Memory is proportional to the
/// number of teams and keys.
class TeamDirectory {
public:
    /// Builds a directory. Fails with Errc::Malformed if two teams have the same name or the same key, if a name or a
    /// key is empty, or if a rate or burst is not a finite non-negative number. The error names the team, never a key.
    static Result<std::shared_ptr<const TeamDirectory>> create(std::vector<TeamSpec> teams);

    const std::vector<TeamSpec>& teams() const { return m_teams; }

    /// Returns the team that holds the key; null if the key is unknown.
    const TeamSpec* findByKey(std::string_view key) const;

    /// Returns the team with this name; null if there is none.
    const TeamSpec* find(std::string_view name) const;

private:
    explicit TeamDirectory(std::vector<TeamSpec> teams);

    std::vector<TeamSpec> m_teams;
    /// Indices of m_teams; the views refer to its texts.
    std::unordered_map<std::string_view, std::size_t> m_byKey;
    std::unordered_map<std::string_view, std::size_t> m_byName;
};

using TeamDirectoryPtr = std::shared_ptr<const TeamDirectory>;

} // namespace bulrushstack
