#pragma once

#include "bulrushstack/serving/serving_configuration.h"
#include "bulrushstack/serving/serving_request.h"
#include "bulrushstack/serving/upstream_directory.h"
#include "bulrushstack/serving/upstream_loads.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace bulrushstack {

/// What a selection depends on, besides the upstreams.
struct SelectionInput {
    const ServingRequest& request;
    std::string zone; ///< availability zone of this instance
    const EngineSpec* engine = nullptr; ///< null for plain services
    Milliseconds latencyObjective {};
    unsigned urgency = 0; ///< that the upstreams will be told
    double prefillMsPerToken = 0; ///< of the request's model
    std::uint64_t tieBreaker = 0; ///< random, so that instances do not choose alike among equals
    std::set<std::string, std::less<>> excluded; ///< ids that were tried already
};

/// An upstream that may be given the request, and what it is expected to cost.
struct RankedUpstream {
    const UpstreamEntry* upstream = nullptr;
    double expectedMs = 0; ///< to the answer's beginning; failures and the way to another zone included
    double prefillTokens = 0; ///< tokens of the prompt that the upstream has to read
    double prefillMs = 0; ///< that an idle upstream takes for them
    Milliseconds queueingDelay {}; ///< by which the upstream is behind with requests that are as urgent

    friend bool operator==(const RankedUpstream&, const RankedUpstream&) = default;
};

/// Rates the upstreams for a request, best first; `candidates` hold the model and the adapter of the request.
///
/// Answers skewed load on few prefixes: requests with the same prefix prefer the same upstream on every instance
/// without messages between them (rendezvous hashing), until its backlog costs more than reading the prefix again
/// elsewhere. Upstreams that were refused or failed lately come last instead of being left out, since all of them may
/// have failed.
std::vector<RankedUpstream> rankUpstreams(
    const SelectionInput& input, const std::vector<const UpstreamEntry*>& candidates, const UpstreamLoads& loads);

} // namespace bulrushstack
