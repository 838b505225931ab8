#include "bulrushstack/serving/upstream_selection.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace bulrushstack {

namespace {

constexpr double otherZoneMs = 3; ///< round trip to another availability zone
constexpr double waitingRequestMs = 60; ///< what each request beyond the slots adds to the wait of the next one
constexpr double batchedRequestMs = 3; ///< what each request in a batch adds to the first event of the next one
constexpr double plainSlotMs = 20; ///< preference for upstreams with free slots
constexpr double plainWaitingMs = 15;
constexpr double failureCost = 2; ///< latency objectives that a certain failure costs
constexpr double avoidedMs = 10'000; ///< more than any expected latency, so that avoided upstreams come last
constexpr double tieMs = 1; ///< expected latencies that are closer are equal

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t seedOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

/// Returns the id of the candidate that all instances prefer for the key; empty if there is no candidate.
std::string preferredUpstream(const std::vector<const UpstreamEntry*>& candidates, const std::string& key)
{
    auto it = std::max_element(candidates.begin(), candidates.end(),
        [seed = seedOf(key)](const auto* a, const auto* b) { return hashOf(a->id, seed) < hashOf(b->id, seed); });
    return it == candidates.end() ? std::string() : (*it)->id;
}

double loadMs(const SelectionInput& input, const UpstreamEntry& upstream, const UpstreamLoads& loads)
{
    const double requests = loads.estimatedRequests(upstream.id);
    const double waiting = std::max(0.0, requests + 1 - upstream.slots);
    if (!input.engine)
        return plainSlotMs * std::min(1.0, requests / std::max(1U, upstream.slots)) + plainWaitingMs * waiting;
    return batchedRequestMs * std::min<double>(requests, upstream.slots) + waitingRequestMs * waiting
        + loads.prefillBacklog(upstream.id) * input.prefillMsPerToken;
}

} // namespace

std::vector<RatedUpstream> rateUpstreams(
    const SelectionInput& input, const std::vector<const UpstreamEntry*>& candidates, const UpstreamLoads& loads)
{
    const std::string key = prefixKey(input.request);
    const std::string preferred = preferredUpstream(candidates, key);
    std::vector<RatedUpstream> out;
    for (const auto* it : candidates) {
        if (input.excluded.count(it->id))
            continue;
        const bool isWarm = it->id == preferred || loads.hasPrefix(it->id, key);
        RatedUpstream rated { .upstream = it };
        rated.prefillTokens = isWarm ? ownPromptTokens(input.request) : input.request.promptTokens;
        rated.delay = millisecondsOf(loads.delay(it->id, input.urgency));
        rated.readMs = rated.prefillTokens * input.prefillMsPerToken;
        rated.expectedMs = std::max(static_cast<double>(rated.delay.count()), loadMs(input, *it, loads)) + rated.readMs;
        if (it->zone != input.zone)
            rated.expectedMs += otherZoneMs;
        rated.expectedMs
            += loads.failureShare(it->id) * failureCost * static_cast<double>(input.latencyObjective.count());
        if (loads.isAvoided(it->id))
            rated.expectedMs += avoidedMs;
        out.push_back(rated);
    }
    const auto rank = [seed = seedOf(std::to_string(input.tieBreaker))](const RatedUpstream& it) {
        return std::pair(std::floor(it.expectedMs / tieMs), hashOf(it.upstream->id, seed));
    };
    std::sort(out.begin(), out.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return out;
}

} // namespace bulrushstack
