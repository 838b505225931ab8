#include "bulrushstack/serving/upstream_selection.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace bulrushstack {

namespace {

constexpr double otherZonePenaltyMs = 3; ///< Round-trip time to another availability zone.
constexpr double waitingRequestMs = 60; ///< Added wait for each request beyond the batch slots.
constexpr double batchedRequestMs = 3; ///< Added time to the first event for each request in the batch.
/// Cost of a fully used upstream of a plain service, so that upstreams with free slots are preferred.
constexpr double plainSlotMs = 20;
constexpr double plainWaitingMs = 15; ///< Added wait for each request of a plain service beyond the slots.
constexpr double failureCostFactor = 2; ///< Cost of a certain failure, as a multiple of the latency objective.
constexpr double avoidedPenaltyMs = 10'000; ///< Exceeds any expected latency, so that avoided upstreams come last.
constexpr double tieMarginMs = 1; ///< Latencies in the same interval of this length count as equal.

/// Prefill time, as a part of the gap objective, up to which a prompt makes no running stream late.
constexpr double harmlessPrefillShare = 0.6;

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t seedOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

/// Returns the id of the candidate that all instances prefer for the key, by rendezvous hashing; empty if there are no
/// candidates.
std::string preferredUpstream(const std::vector<const UpstreamEntry*>& candidates, const std::string& key)
{
    auto it = std::max_element(candidates.begin(), candidates.end(),
        [seed = seedOf(key)](const auto* a, const auto* b) { return hashOf(a->id, seed) < hashOf(b->id, seed); });
    return it == candidates.end() ? std::string() : (*it)->id;
}

/// Returns the expected wait caused by the requests at the upstream, in milliseconds.
double loadMs(const SelectionInput& input, const UpstreamEntry& upstream, const UpstreamLoads& loads)
{
    const double requests = loads.estimatedRequests(upstream.id);
    const double waiting = std::max(0.0, requests + 1 - upstream.slots);
    if (!input.engine)
        return plainSlotMs * std::min(1.0, requests / std::max(1U, upstream.slots)) + plainWaitingMs * waiting;
    return batchedRequestMs * std::min<double>(requests, upstream.slots) + waitingRequestMs * waiting
        + loads.prefillBacklog(upstream.id) * input.prefillMsPerToken;
}

double slowdownOf(const SelectionInput& input, const UpstreamEntry& upstream)
{
    return input.pace && input.engine ? input.pace->slowdown(upstream.id, upstream.startedAt) : 1;
}

/// Returns the cost of the streams at the upstream that a prompt with the given prefill time would make late, in
/// milliseconds.
double disturbanceMs(
    const SelectionInput& input, const UpstreamEntry& upstream, const UpstreamLoads& loads, double prefillMs)
{
    if (!input.pace || !input.pace->isActive() || input.gapObjective.count() <= 0)
        return 0;
    const double share = prefillMs / static_cast<double>(input.gapObjective.count());
    const double risk = std::clamp((share - harmlessPrefillShare) / harmlessPrefillShare, 0.0, 1.0);
    const double streams = std::min<double>(loads.estimatedRequests(upstream.id), upstream.slots);
    return risk * streams * static_cast<double>(input.latencyObjective.count());
}

} // namespace

std::vector<RankedUpstream> rankUpstreams(
    const SelectionInput& input, const std::vector<const UpstreamEntry*>& candidates, const UpstreamLoads& loads)
{
    const std::string key = prefixKey(input.request);
    const std::string preferred = preferredUpstream(candidates, key);
    std::vector<RankedUpstream> out;
    for (const auto* it : candidates) {
        if (input.excluded.count(it->id))
            continue;
        const bool isPrefixCached = it->id == preferred || loads.hasPrefix(it->id, key);
        RankedUpstream ranked { .upstream = it };
        ranked.prefillTokens = isPrefixCached ? unsharedPromptTokens(input.request) : input.request.promptTokens;
        ranked.queueingDelay = millisecondsOf(loads.queueingDelay(it->id, input.urgency));
        ranked.prefillMs = ranked.prefillTokens * input.prefillMsPerToken;
        const double slowdown = slowdownOf(input, *it);
        ranked.expectedMs
            = std::max(static_cast<double>(ranked.queueingDelay.count()), slowdown * loadMs(input, *it, loads))
            + slowdown * ranked.prefillMs + disturbanceMs(input, *it, loads, slowdown * ranked.prefillMs);
        if (it->zone != input.zone)
            ranked.expectedMs += otherZonePenaltyMs;
        ranked.expectedMs
            += loads.failureShare(it->id) * failureCostFactor * static_cast<double>(input.latencyObjective.count());
        if (loads.isAvoided(it->id))
            ranked.expectedMs += avoidedPenaltyMs;
        out.push_back(ranked);
    }
    const auto sortKey = [seed = seedOf(std::to_string(input.tieBreaker))](const RankedUpstream& it) {
        return std::pair(std::floor(it.expectedMs / tieMarginMs), hashOf(it.upstream->id, seed));
    };
    std::sort(out.begin(), out.end(), [&](const auto& a, const auto& b) { return sortKey(a) < sortKey(b); });
    return out;
}

} // namespace bulrushstack
