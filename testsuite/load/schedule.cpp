#include "schedule.h"

#include <algorithm>
#include <map>
#include <random>

namespace bulrushstack::load {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::nanoseconds;

class Planner {
public:
    explicit Planner(const Experiment& experiment)
        : m_experiment(experiment)
        , m_random(experiment.seed)
        , m_teams(weightedChoice(experiment.teams))
        , m_requests(weightedChoice(experiment.requests))
        , m_targets(0, static_cast<std::uint32_t>(experiment.targets.size() - 1))
    {
    }

    std::vector<PlannedRequest> plan()
    {
        nanoseconds begin {};
        for (std::uint32_t round = 0; round < m_experiment.repeats; ++round) {
            for (std::uint32_t phase = 0; phase < m_experiment.phases.size(); ++phase) {
                planPhase(round, phase, begin);
                begin += m_experiment.phases[phase].duration;
            }
        }
        const auto isEarlier = [](const PlannedRequest& a, const PlannedRequest& b) { return a.offset < b.offset; };
        std::stable_sort(m_planned.begin(), m_planned.end(), isEarlier);
        return std::move(m_planned);
    }

private:
    template <typename T> static std::discrete_distribution<std::uint32_t> weightedChoice(const std::vector<T>& specs)
    {
        std::vector<double> weights;
        weights.reserve(specs.size());
        for (const auto& it : specs)
            weights.push_back(it.weight);
        return { weights.begin(), weights.end() };
    }

    void planPhase(std::uint32_t round, std::uint32_t phase, nanoseconds begin)
    {
        const auto& spec = m_experiment.phases[phase];
        if (spec.rate <= 0)
            return;
        std::exponential_distribution<double> gap(spec.rate);
        const Seconds duration = spec.duration;
        Seconds at {};
        for (;;) {
            at += Seconds(spec.isPoisson ? gap(m_random) : 1 / spec.rate);
            if (at >= duration)
                return;
            PlannedRequest request;
            request.offset = begin + std::chrono::duration_cast<nanoseconds>(at);
            request.round = round;
            request.phase = phase;
            planRequest(request);
        }
    }

    void planRequest(PlannedRequest request)
    {
        request.number = ++m_number;
        request.request = m_requests(m_random);
        request.team = m_teams(m_random);
        request.target = m_targets(m_random);
        const auto& spec = m_experiment.requests[request.request];
        request.prompt = choosePrompt(request, spec.promptReuseProbability);
        m_planned.push_back(request);
        if (m_fraction(m_random) < spec.repeatProbability) {
            request.offset += std::chrono::duration_cast<nanoseconds>(Seconds(m_fraction(m_random)));
            request.target = m_targets(m_random);
            m_planned.push_back(request);
        }
    }

    std::uint64_t choosePrompt(const PlannedRequest& request, double reuse)
    {
        static constexpr std::size_t maxRecentPrompts = 64;
        auto& recent = m_prompts[{ request.team, request.request }];
        if (!recent.empty() && m_fraction(m_random) < reuse) {
            std::uniform_int_distribution<std::size_t> choice(0, recent.size() - 1);
            return recent[choice(m_random)];
        }
        if (recent.size() < maxRecentPrompts)
            recent.push_back(request.number);
        else
            recent[request.number % maxRecentPrompts] = request.number;
        return request.number;
    }

    const Experiment& m_experiment;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::uint32_t> m_teams;
    std::discrete_distribution<std::uint32_t> m_requests;
    std::uniform_int_distribution<std::uint32_t> m_targets;
    std::uniform_real_distribution<double> m_fraction { 0, 1 };
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<std::uint64_t>> m_prompts;
    std::vector<PlannedRequest> m_planned;
    std::uint64_t m_number = 0;
};

} // namespace

std::vector<PlannedRequest> planRequests(const Experiment& experiment) { return Planner(experiment).plan(); }

} // namespace bulrushstack::load
