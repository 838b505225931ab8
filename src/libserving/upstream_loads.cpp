#include "bulrushstack/serving/upstream_loads.h"

#include "fading.h"
#include <algorithm>

namespace bulrushstack {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds loadFadeTime { 2.0 }; ///< after which what others had at an upstream counts for 1/e
constexpr Seconds failureFadeTime { 3.0 };
constexpr double failureWeight = 0.3; ///< of one attempt in the share of failures
constexpr std::chrono::milliseconds refusedPause { 150 };
constexpr std::chrono::milliseconds unreachablePause { 700 };
constexpr std::chrono::seconds prefixLifetime { 30 };
constexpr std::size_t prefixesPerUpstream = 256;

void dropOldest(std::map<std::string, SteadyTime>& prefixes)
{
    prefixes.erase(std::min_element(
        prefixes.begin(), prefixes.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
}

} // namespace

UpstreamLoads::UpstreamLoads(const Clock& clock)
    : m_clock(clock)
{
}

const UpstreamLoad* UpstreamLoads::find(const std::string& id) const
{
    auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second.load;
}

void UpstreamLoads::begin(const std::string& id, const SentRequest& request)
{
    auto& load = m_records[id].load;
    ++load.inFlight;
    load.prefillBacklog += request.prefillTokens;
    load.unanswered.emplace(request.urgency, request.sent + request.readTime);
}

void UpstreamLoads::noteNoLongerWaiting(UpstreamLoad& load, const SentRequest& request)
{
    load.prefillBacklog = std::max(0.0, load.prefillBacklog - request.prefillTokens);
    const auto it = load.unanswered.find({ request.urgency, request.sent + request.readTime });
    if (it != load.unanswered.end())
        load.unanswered.erase(it);
}

void UpstreamLoads::noteFirstAnswer(const std::string& id, const SentRequest& request, std::optional<StatedLoad> stated)
{
    auto& load = m_records[id].load;
    noteNoLongerWaiting(load, request);
    auto& answered = load.answered[request.urgency];
    answered = std::max(answered, request.sent + request.readTime);
    if (!stated)
        return;
    load.stated = *stated;
    load.statedAt = m_clock.now();
    load.inFlightWhenStated = load.inFlight;
}

void UpstreamLoads::end(const std::string& id, const SentRequest& request, bool hadFirstAnswer, AttemptOutcome outcome)
{
    auto& load = m_records[id].load;
    if (load.inFlight > 0)
        --load.inFlight;
    if (!hadFirstAnswer)
        noteNoLongerWaiting(load, request);
    const auto now = m_clock.now();
    if (outcome == AttemptOutcome::Refused)
        load.avoidUntil = now + refusedPause;
    if (outcome == AttemptOutcome::Unreachable) {
        load.avoidUntil = now + unreachablePause;
        load.unreachableAt = now;
    }
    if (outcome == AttemptOutcome::Served && load.avoidUntil && hadFirstAnswer)
        load.avoidUntil.reset();
    if (outcome == AttemptOutcome::Served || outcome == AttemptOutcome::Failed
        || outcome == AttemptOutcome::Unreachable) {
        const double share = failureShare(id);
        const double sample = outcome == AttemptOutcome::Served ? 0 : 1;
        load.failureShare = share + failureWeight * (sample - share);
        load.failureAt = now;
    }
}

void UpstreamLoads::notePrefix(const std::string& id, const std::string& key)
{
    auto& prefixes = m_records[id].prefixes;
    prefixes[key] = m_clock.now();
    if (prefixes.size() > prefixesPerUpstream)
        dropOldest(prefixes);
}

bool UpstreamLoads::hasPrefix(const std::string& id, const std::string& key) const
{
    auto it = m_records.find(id);
    if (it == m_records.end())
        return false;
    auto prefix = it->second.prefixes.find(key);
    return prefix != it->second.prefixes.end() && m_clock.now() - prefix->second < prefixLifetime;
}

double UpstreamLoads::estimatedRequests(const std::string& id) const
{
    const auto* load = find(id);
    if (!load)
        return 0;
    double others = 0;
    if (load->statedAt) {
        const double total = load->stated.running + load->stated.waiting;
        others = std::max(0.0, total - load->inFlightWhenStated) * fade(m_clock.now() - *load->statedAt, loadFadeTime);
    }
    return load->inFlight + others;
}

std::chrono::nanoseconds UpstreamLoads::delay(const std::string& id, unsigned urgency) const
{
    const auto* load = find(id);
    if (!load)
        return {};
    const auto now = m_clock.now();
    const auto isOvertaken = [&](unsigned ofUrgency, SteadyTime due) {
        return std::any_of(load->answered.lower_bound(ofUrgency), load->answered.end(),
            [due](const auto& it) { return it.second > due; });
    };
    auto earliest = now;
    for (const auto& [otherUrgency, due] : load->unanswered) {
        if (otherUrgency > urgency)
            break;
        if (due < earliest && !isOvertaken(otherUrgency, due))
            earliest = due;
    }
    return now - earliest;
}

double UpstreamLoads::failureShare(const std::string& id) const
{
    const auto* load = find(id);
    if (!load || !load->failureAt)
        return 0;
    return load->failureShare * fade(m_clock.now() - *load->failureAt, failureFadeTime);
}

std::vector<std::string> UpstreamLoads::unreachable(std::chrono::nanoseconds within) const
{
    std::vector<std::string> out;
    for (const auto& [id, record] : m_records) {
        if (record.load.unreachableAt && m_clock.now() - *record.load.unreachableAt < within)
            out.push_back(id);
    }
    return out;
}

bool UpstreamLoads::isAvoided(const std::string& id) const
{
    const auto* load = find(id);
    return load && load->avoidUntil && *load->avoidUntil > m_clock.now();
}

double UpstreamLoads::prefillBacklog(const std::string& id) const
{
    const auto* load = find(id);
    return load ? load->prefillBacklog : 0;
}

void UpstreamLoads::retain(const ServingDirectory& directory)
{
    std::erase_if(m_records, [&](const auto& it) { return it.second.load.inFlight == 0 && !directory.find(it.first); });
}

} // namespace bulrushstack
