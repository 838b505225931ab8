#pragma once

#include "bulrushstack/serving/serving_configuration.h"
#include "bulrushstack/serving/serving_request.h"
#include "bulrushstack/serving/upstream_directory.h"
#include "bulrushstack/serving/upstream_loads.h"
#include "bulrushstack/serving/upstream_pace.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace bulrushstack {

/// Properties of a request that the selection of its upstream depends on.
struct SelectionInput {
    const ServingRequest& request;
    std::string zone; ///< Availability zone of this instance.
    const EngineSpec* engine = nullptr; ///< Engine settings of the service; null for plain services.
    Milliseconds latencyObjective {}; ///< Latency objective of the route; it scales the cost of failures.
    /// Objective for the longest time between two events of a stream; zero if there is none.
    Milliseconds gapObjective {};
    const UpstreamPace* pace = nullptr; ///< How fast the upstreams work; null if it is not known.
    unsigned urgency = 0; ///< Urgency that is sent to the upstream; lower values are admitted first.
    double prefillMsPerToken = 0; ///< Prefill time per prompt token of the requested model.
    std::uint64_t tieBreaker = 0; ///< Random number, so that instances choose differently among equal upstreams.
    std::set<std::string, std::less<>> excluded; ///< Ids of the upstreams that were already tried.
};

/// A candidate for a request, with its expected cost.
struct RankedUpstream {
    const UpstreamEntry* upstream = nullptr;
    /// Expected time to the start of the response, including penalties for failures, for another availability zone and
    /// for the streams that the request would make late.
    double expectedMs = 0;
    double prefillTokens = 0; ///< Prompt tokens that the upstream has to process.
    double prefillMs = 0; ///< Time that an idle upstream takes to process them.
    Milliseconds queueingDelay {}; ///< See UpstreamLoads::queueingDelay().

    friend bool operator==(const RankedUpstream&, const RankedUpstream&) = default;
};

/// Ranks the upstreams for a request, best first. `candidates` must have the model and the adapter of the request
/// loaded.
///
/// Requests with the same prompt prefix prefer the same upstream on every instance, without coordination (rendezvous
/// hashing), until its backlog costs more than the prefill of the prefix on another upstream. This keeps the cache
/// effective when few prefixes get most of the load. Upstreams that recently refused or failed are ranked last instead
/// of being left out, since all of them may have failed.
///
/// Where the pace of the upstreams is known, waiting and prefill take longer on a slow one, and a prompt costs what it
/// does to the streams that run there: while it is read, they get no events.
std::vector<RankedUpstream> rankUpstreams(
    const SelectionInput& input, const std::vector<const UpstreamEntry*>& candidates, const UpstreamLoads& loads);

} // namespace bulrushstack
