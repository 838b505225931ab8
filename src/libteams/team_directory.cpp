#include "bulrushstack/teams/team_directory.h"

#include <cmath>

namespace bulrushstack {

namespace {

Failure invalidTeam(const std::string& team, std::string_view reason)
{
    return {
        .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = "team '" + team + "': " + std::string(reason)
    };
}

bool isRate(double value) { return std::isfinite(value) && value >= 0; }

} // namespace

TeamDirectory::TeamDirectory(std::vector<TeamSpec> teams)
    : m_teams(std::move(teams))
{
    m_byName.reserve(m_teams.size());
}

Result<TeamDirectoryPtr> TeamDirectory::create(std::vector<TeamSpec> teams)
{
    const std::shared_ptr<TeamDirectory> out(new TeamDirectory(std::move(teams)));
    for (std::size_t i = 0; i < out->m_teams.size(); ++i) {
        const auto& team = out->m_teams[i];
        if (team.name.empty())
            return invalidTeam(team.name, "the name is empty");
        if (!out->m_byName.emplace(team.name, i).second)
            return invalidTeam(team.name, "another team has the same name");
        const auto& quota = team.quota;
        if (quota && !(isRate(quota->ratePerSecond) && isRate(quota->burst) && isRate(quota->unitsWithoutTokenCount)))
            return invalidTeam(team.name, "the quota is not a non-negative number");
        for (const auto& key : team.keys) {
            if (key.empty())
                return invalidTeam(team.name, "a key is empty");
            const auto [it, isNew] = out->m_byKey.emplace(key, i);
            if (!isNew && it->second != i)
                return invalidTeam(team.name, "team '" + out->m_teams[it->second].name + "' holds the same key");
        }
    }
    return TeamDirectoryPtr(out);
}

const TeamSpec* TeamDirectory::findByKey(std::string_view key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : &m_teams[it->second];
}

const TeamSpec* TeamDirectory::find(std::string_view name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &m_teams[it->second];
}

} // namespace bulrushstack
