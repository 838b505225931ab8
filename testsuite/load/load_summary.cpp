#include "load_summary.h"

namespace bulrushstack::load {

using json = nlohmann::json;

void OutcomeGroup::add(const RequestOutcome& outcome, std::chrono::nanoseconds deadline)
{
    ++requests;
    ++byStatus[outcome.status];
    ++byVerdict[outcome.verdict];
    const bool isInTime = deadline == std::chrono::nanoseconds(0) || outcome.latency <= deadline;
    ++(outcome.isAnswered && isInTime ? deadlineMet : deadlineMissed);
    if (outcome.isAnswered)
        latency.add(outcome.latency);
    if (outcome.firstToken)
        firstToken.add(*outcome.firstToken);
}

json OutcomeGroup::toJson() const
{
    auto out = json::object();
    out["requests"] = requests;
    out["deadline_met"] = deadlineMet;
    out["deadline_missed"] = deadlineMissed;
    out["by_status"] = byStatus;
    out["by_verdict"] = byVerdict;
    out["latency_ms"] = latency.toJson();
    out["first_token_ms"] = firstToken.toJson();
    return out;
}

LoadSummary::LoadSummary(const Experiment& experiment)
    : m_experiment(experiment)
{
}

void LoadSummary::add(const PlannedRequest& planned, const RequestOutcome& outcome)
{
    const auto& spec = m_experiment.requests[planned.request];
    const auto phase = std::to_string(planned.round + 1) + "/" + m_experiment.phases[planned.phase].name;
    m_lateness.add(outcome.lateness);
    for (auto* it : { &m_total, &m_byClass[spec.className()], &m_byRequest[spec.name], &m_byPhase[phase],
             &m_byTeam[m_experiment.teams[planned.team].name] })
        it->add(outcome, spec.deadline);
}

json LoadSummary::toJson(const Groups& groups)
{
    auto out = json::object();
    for (const auto& [name, group] : groups)
        out[name] = group.toJson();
    return out;
}

json LoadSummary::toJson(std::chrono::nanoseconds elapsed) const
{
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    const auto perSecond = [&](std::size_t count) { return seconds > 0 ? static_cast<double>(count) / seconds : 0; };
    auto out = json::object();
    out["seed"] = m_experiment.seed;
    out["elapsed_s"] = seconds;
    out["skipped"] = m_skipped;
    out["requests_per_second"] = perSecond(m_total.requests);
    out["answered_per_second"] = perSecond(m_total.latency.count());
    out["send_lateness_ms"] = m_lateness.toJson();
    out["total"] = m_total.toJson();
    out["by_class"] = toJson(m_byClass);
    out["by_request"] = toJson(m_byRequest);
    out["by_phase"] = toJson(m_byPhase);
    out["by_team"] = toJson(m_byTeam);
    return out;
}

} // namespace bulrushstack::load
