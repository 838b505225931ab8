#include "bulrushstack/routing/router.h"

#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace bulrushstack {

namespace {

/// Typical output length of a request; converts the number of requests ahead into seconds.
constexpr double tokensPerRequest = 64;

/// Assumed speed of an engine that does not report it.
constexpr double assumedTokensPerSecond = 1000;

/// Assumed time that each call ahead adds on an upstream of a plain service.
constexpr double secondsPerServiceCall = 0.005;

/// Score bonus for the upstream that probably has the prompt prefix in its cache.
constexpr double affinityBonusSeconds = 0.05;

bool canServe(const UpstreamView& view, const RouteRequest& request)
{
    if (view.record.role != request.role || view.record.state != InstanceState::Live)
        return false;
    if (request.role == InstanceRole::Service)
        return view.record.service == request.service;
    return std::any_of(view.resident.begin(), view.resident.end(),
        [&](const ResidentModel& it) { return it.model == request.model && it.state == ResidentState::Ready; });
}

std::uint32_t limitFor(const RouteRequest& request, const RoutingOptions& options)
{
    const bool isReduced = request.urgency == Urgency::Batch && options.concurrencyLimit > options.batchReserve;
    return isReduced ? options.concurrencyLimit - options.batchReserve : options.concurrencyLimit;
}

std::uint64_t affinityRank(const UpstreamView& view, const RouteRequest& request)
{
    const std::string pair = request.affinityKey + "/" + view.record.id;
    return XXH3_64bits(pair.data(), pair.size());
}

double predictedSeconds(const UpstreamView& view, const RouteRequest& request, const RoutingOptions& options)
{
    const double zone
        = view.record.zone == request.zone ? 0 : std::chrono::duration<double>(options.zonePenalty).count();
    if (request.role == InstanceRole::Service)
        return zone + view.inFlight * secondsPerServiceCall;
    // A load report lags behind and may not yet include requests of this instance.
    const double reported = view.load ? static_cast<double>(view.load->queued + view.load->running) : 0;
    const double requestsAhead = std::max<double>(reported, view.inFlight);
    const double speed
        = view.load && view.load->tokensPerSecond > 0 ? view.load->tokensPerSecond : assumedTokensPerSecond;
    return zone + requestsAhead * tokensPerRequest / speed;
}

struct Candidate {
    const UpstreamView* view = nullptr;
    double score = 0;
    std::uint64_t rank = 0;
};

bool isBetter(const Candidate& a, const Candidate& b)
{
    return a.score != b.score ? a.score < b.score : a.rank > b.rank;
}

} // namespace

RouteDecision chooseUpstream(
    const UpstreamSnapshot& upstreams, const RouteRequest& request, const RoutingOptions& options)
{
    NoRoute none;
    std::vector<Candidate> candidates;
    // The reported reason is that of the candidate that passed the most checks, in enumeration order.
    auto reject = [&](NoRouteReason reason) { none.reason = std::max(none.reason, reason); };
    for (const auto& view : upstreams) {
        if (!canServe(view, request))
            continue;
        if (request.excluded.contains(view.record.id))
            reject(NoRouteReason::AllExcluded);
        else if (!view.isReachable)
            reject(NoRouteReason::AllUnreachable);
        else if (view.inFlight >= limitFor(request, options))
            reject(NoRouteReason::AllFull);
        else
            candidates.push_back({ .view = &view,
                .score = predictedSeconds(view, request, options),
                .rank = affinityRank(view, request) });
    }
    if (candidates.empty())
        return none;
    if (!request.affinityKey.empty()) {
        auto preferred = std::max_element(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
        preferred->score -= affinityBonusSeconds;
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), isBetter);
    return Route {
        .upstreamId = best->view->record.id,
        .address = best->view->record.address,
        .incarnation = best->view->record.incarnation,
        .score = best->score,
    };
}

} // namespace bulrushstack
