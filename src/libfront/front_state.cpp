#include "front_state.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Fraction of the platform's retry budget that the instances use. The rest is a reserve for changes in the number of
/// instances.
constexpr double usedBudgetShare = 0.8;
/// Assumed prefill time per token for a model without samples.
constexpr double initialPrefillMsPerToken = 0.02;
/// Weight of a sample above the estimate. Other work of the upstream may have caused it, so the weight is low.
constexpr double slowerSampleWeight = 0.02;
/// Weight of a sample below the estimate.
constexpr double fasterSampleWeight = 0.3;
/// Time to the first event for a prompt that is already in the cache, in milliseconds.
constexpr double firstEventOverheadMs = 12;
/// Failed connections up to this age are reported to the lease holder.
constexpr std::chrono::milliseconds maxUnreachableReportAge { 1000 };
/// Prompts with fewer prefill tokens say little about the time per token.
constexpr double minTokensForPrefillSample = 300;

} // namespace

FrontState::FrontState(asio::io_context& context, const Clock& clock, std::string instanceId, std::string zone,
    PlatformLimits platformLimits)
    : m_context(context)
    , m_clock(clock)
    , m_instanceId(std::move(instanceId))
    , m_zone(std::move(zone))
    , m_platformLimits(platformLimits)
    , m_directory(clock)
    , m_upstreamLoads(clock)
    , m_upstreamPace(clock)
    , m_reachability(clock)
    , m_residencyHints(clock)
    , m_crashSuspects(clock)
    , m_recentRefusals(clock)
{
}

void FrontState::setPlatformLimits(const PlatformLimits& platformLimits)
{
    m_platformLimits = platformLimits;
    m_retryBudgets.clear();
}

void FrontState::abortRequests()
{
    m_activeRequests->abortAll();
    wakeWaitingRequests();
}

bool FrontState::updateConfiguration(ServingConfigurationPtr configuration)
{
    if (m_configuration && configuration->version() <= m_configuration->version())
        return false;
    m_configuration = std::move(configuration);
    wakeWaitingRequests();
    return true;
}

RetryBudget& FrontState::retryBudget(const std::string& service)
{
    auto it = m_retryBudgets.find(service);
    if (it == m_retryBudgets.end()) {
        const RetryBudgetOptions options { .ratio = usedBudgetShare * m_platformLimits.retryRatio,
            .burst = retryBudgetBurst() };
        it = m_retryBudgets.emplace(service, RetryBudget(options)).first;
    }
    return it->second;
}

void FrontState::setInstanceCount(unsigned instanceCount)
{
    if (instanceCount == m_instanceCount || instanceCount == 0)
        return;
    m_instanceCount = instanceCount;
    for (auto& [service, budget] : m_retryBudgets)
        budget.setBurst(retryBudgetBurst());
}

double FrontState::retryBudgetBurst() const
{
    // Until the number of instances is known, the slack is left to the other instances.
    return m_instanceCount == 0 ? 1 : std::max(1.0, usedBudgetShare * m_platformLimits.retrySlack / m_instanceCount);
}

bool FrontState::isModelResident(const std::string& service, const std::string& model) const
{
    const ServingRequest request { .model = model };
    return !upstreamsWithModel(service, request).empty() || remainingSuspension(service, request);
}

std::vector<const UpstreamEntry*> FrontState::upstreamsWithModel(
    const std::string& service, const ServingRequest& request) const
{
    auto out = m_directory.usable(service);
    std::erase_if(out, [&](const UpstreamEntry* it) { return !canServe(*it, request); });
    return out;
}

bool FrontState::canServe(const UpstreamEntry& upstream, const ServingRequest& request) const
{
    if (request.model.empty())
        return true;
    if (m_retiringReplicas.count({ upstream.id, request.model }))
        return false;
    if (const auto hint = m_residencyHints.find(upstream.id, request.model, request.adapter))
        return *hint && upstream.findModel(request.model);
    return upstream.hasLoaded(request.model, request.adapter);
}

std::optional<Milliseconds> FrontState::remainingSuspension(
    const std::string& service, const ServingRequest& request) const
{
    if (!upstreamsWithModel(service, request).empty())
        return std::nullopt;
    std::optional<SteadyTime> soonest;
    for (const auto* it : m_directory.suspended(service)) {
        const auto until = m_directory.suspendedUntil(it->id);
        if (canServe(*it, request) && until && (!soonest || *until < *soonest))
            soonest = until;
    }
    if (!soonest)
        return std::nullopt;
    return std::chrono::ceil<Milliseconds>(*soonest - m_clock.now()); // Not before the end.
}

void FrontState::markLeaving(const std::string& id, std::uint64_t startedAt, std::string_view source)
{
    if (!m_directory.recordLeaving(id, startedAt))
        return;
    LOG(INFO) << "event=upstream-leaving upstream=" << id << " source=" << source << " started_at=" << startedAt
              << " directory=" << m_directory.version();
    wakeWaitingRequests();
}

void FrontState::setRetiringReplicas(const std::vector<RetiringReplica>& replicas)
{
    m_retiringReplicas.clear();
    for (const auto& it : replicas)
        m_retiringReplicas.insert({ it.upstream, it.model });
}

double FrontState::prefillMsPerToken(const std::string& model) const
{
    auto it = m_prefillMsPerToken.find(model);
    return it == m_prefillMsPerToken.end() ? initialPrefillMsPerToken : it->second;
}

void FrontState::updatePrefillEstimate(const std::string& model, double tokens, std::chrono::nanoseconds duration)
{
    if (tokens < minTokensForPrefillSample)
        return;
    const double ms = std::chrono::duration<double, std::milli>(duration).count();
    const double sample = std::max(0.0, ms - firstEventOverheadMs) / tokens;
    auto& estimate = m_prefillMsPerToken.try_emplace(model, initialPrefillMsPerToken).first->second;
    estimate += (sample < estimate ? fasterSampleWeight : slowerSampleWeight) * (sample - estimate);
}

void FrontState::recordDemand(const std::string& service, const ServingRequest& request, double workMs, bool isPlaced)
{
    auto& demand = m_demand[{ service, request.model }];
    demand.service = service;
    demand.model = request.model;
    ++demand.requests;
    demand.workMs += workMs;
    if (!isPlaced) {
        ++demand.unplaced;
        m_hasUrgentDemand = true;
    }
    if (!request.adapter.empty())
        m_adapterDemand.insert({ service, request.model, request.adapter });
}

void FrontState::recordUnplacedStream(
    const std::string& service, const ServingRequest& request, const std::string& softwareVersion)
{
    auto& demand = m_demand[{ service, request.model }];
    demand.service = service;
    demand.model = request.model;
    ++demand.unplacedByVersion[softwareVersion];
    m_hasUrgentDemand = true;
}

DemandMessage FrontState::collectAndResetDemand()
{
    DemandMessage out { .instance = m_instanceId };
    for (auto& [key, demand] : m_demand)
        out.models.push_back(std::move(demand));
    for (const auto& [service, model, adapter] : m_adapterDemand)
        out.adapters.push_back({ .service = service, .model = model, .adapter = adapter });
    out.unreachable = m_upstreamLoads.unreachable(maxUnreachableReportAge);
    m_demand.clear();
    m_adapterDemand.clear();
    m_hasUrgentDemand = false;
    return out;
}

void FrontState::recordCrash(
    const std::string& upstream, std::uint64_t startedAt, const std::vector<CrashSuspect>& suspects)
{
    const auto previous = m_crashSuspects.quarantined();
    m_crashSuspects.recordCrash(upstream, startedAt, suspects);
    m_hasUrgentDemand = true;
    recordQuarantineChanges(previous);
}

void FrontState::recordServed(const std::vector<CrashSuspect>& contents)
{
    const auto previous = m_crashSuspects.quarantined();
    m_crashSuspects.recordServed(contents);
    recordQuarantineChanges(previous);
}

void FrontState::mergeCrashes(const std::vector<UpstreamCrash>& crashes)
{
    const auto previous = m_crashSuspects.quarantined();
    m_crashSuspects.merge(crashes);
    recordQuarantineChanges(previous);
}

void FrontState::recordTrial(const std::string& request, const std::vector<SuspectId>& suspects)
{
    for (const auto& it : suspects)
        LOG(WARNING) << "event=quarantine-trial request=" << request << " kind=" << toString(it.kind)
                     << " id=" << it.id;
    m_crashSuspects.recordTrial(suspects);
    m_hasUrgentDemand = true;
}

/// Logs what changed. The lease holder hears soon of what is no longer quarantined.
void FrontState::recordQuarantineChanges(const std::map<SuspectId, QuarantineState>& previous)
{
    const auto& current = m_crashSuspects.quarantined();
    for (const auto& [suspect, state] : current) {
        if (previous.count(suspect) == 0)
            LOG(WARNING) << "event=quarantine kind=" << toString(suspect.kind) << " id=" << suspect.id
                         << " crashes=" << state.crashes << " separate=" << state.separateCrashes
                         << " span_ms=" << millisecondsOf(state.lastCrash - state.firstCrash).count()
                         << " last_age_ms=" << millisecondsOf(m_clock.now() - state.lastCrash).count()
                         << " served_before=" << state.wasServedBefore << " trials=" << state.trials;
    }
    for (const auto& [suspect, state] : previous) {
        if (current.count(suspect) > 0)
            continue;
        LOG(WARNING) << "event=quarantine-ended kind=" << toString(suspect.kind) << " id=" << suspect.id
                     << " trials=" << state.trials;
        m_hasUrgentDemand = true;
    }
}

void FrontState::wakeWaitingRequests()
{
    for (auto* it : m_waitTimers)
        it->cancel();
}

asio::awaitable<void> FrontState::waitForChange(SteadyTime deadline)
{
    asio::steady_timer timer(m_context, deadline);
    m_waitTimers.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waitTimers.erase(&timer);
}

} // namespace bulrushstack
