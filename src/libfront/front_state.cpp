#include "front_state.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr double budgetShare = 0.8; ///< of the retry budget that the instances use, with a reserve for their changes
constexpr double initialPrefillMsPerToken = 0.02; ///< of a model that has not been seen
constexpr double paceRise = 0.02; ///< weight of an observation above the pace, which other work may have caused
constexpr double paceFall = 0.3;
constexpr double firstEventBaseMs = 12; ///< of a prompt that is already in the cache
constexpr std::chrono::milliseconds unreachableNews { 1000 }; ///< age up to which a failed connection is reported
constexpr double tokensForPace = 300; ///< fewer say little about the time for each

} // namespace

FrontState::FrontState(
    asio::io_context& context, const Clock& clock, std::string instanceId, std::string zone, FrontBounds bounds)
    : m_context(context)
    , m_clock(clock)
    , m_instanceId(std::move(instanceId))
    , m_zone(std::move(zone))
    , m_bounds(bounds)
    , m_directory(clock)
    , m_loads(clock)
    , m_hints(clock)
    , m_suspects(clock)
{
}

void FrontState::setBounds(const FrontBounds& bounds)
{
    m_bounds = bounds;
    m_budgets.clear();
}

bool FrontState::offerConfiguration(ServingConfigurationPtr configuration)
{
    if (m_configuration && configuration->version() <= m_configuration->version())
        return false;
    m_configuration = std::move(configuration);
    wakeWaiting();
    return true;
}

RetryBudget& FrontState::budget(const std::string& service)
{
    auto it = m_budgets.find(service);
    if (it == m_budgets.end()) {
        const RetryBudgetOptions options { .ratio = budgetShare * m_bounds.retryRatio, .burst = budgetBurst() };
        it = m_budgets.emplace(service, RetryBudget(options)).first;
    }
    return it->second;
}

void FrontState::setInstances(unsigned instances)
{
    if (instances == m_instances || instances == 0)
        return;
    m_instances = instances;
    for (auto& [service, budget] : m_budgets)
        budget.setBurst(budgetBurst());
}

double FrontState::budgetBurst() const
{
    // Before the number of instances is known, the slack is left to the others.
    return m_instances == 0 ? 1 : std::max(1.0, budgetShare * m_bounds.retrySlack / m_instances);
}

bool FrontState::isModelHeld(const std::string& service, const std::string& model) const
{
    const ServingRequest request { .model = model };
    return !holders(service, request).empty() || pauseOfHolders(service, request);
}

std::vector<const UpstreamEntry*> FrontState::holders(const std::string& service, const ServingRequest& request) const
{
    auto out = m_directory.usable(service);
    std::erase_if(out, [&](const UpstreamEntry* it) { return !isHolder(*it, request); });
    return out;
}

bool FrontState::isHolder(const UpstreamEntry& upstream, const ServingRequest& request) const
{
    if (request.model.empty())
        return true;
    if (m_retiring.count({ upstream.id, request.model }))
        return false;
    if (const auto hint = m_hints.find(upstream.id, request.model, request.adapter))
        return *hint && upstream.findModel(request.model);
    return upstream.hasLoaded(request.model, request.adapter);
}

std::optional<Milliseconds> FrontState::pauseOfHolders(const std::string& service, const ServingRequest& request) const
{
    if (!holders(service, request).empty())
        return std::nullopt;
    std::optional<SteadyTime> soonest;
    for (const auto* it : m_directory.pausing(service)) {
        const auto until = m_directory.pausedUntil(it->id);
        if (isHolder(*it, request) && until && (!soonest || *until < *soonest))
            soonest = until;
    }
    if (!soonest)
        return std::nullopt;
    return millisecondsOf(*soonest - m_clock.now());
}

void FrontState::noteLeaving(const std::string& id, std::uint64_t startedAt, std::string_view source)
{
    if (!m_directory.recordLeaving(id, startedAt))
        return;
    LOG(INFO) << "event=upstream-leaving upstream=" << id << " source=" << source << " started_at=" << startedAt
              << " directory=" << m_directory.version();
    wakeWaiting();
}

void FrontState::setRetiring(const std::vector<RetiringCopy>& copies)
{
    m_retiring.clear();
    for (const auto& it : copies)
        m_retiring.insert({ it.upstream, it.model });
}

double FrontState::prefillMsPerToken(const std::string& model) const
{
    auto it = m_prefillMsPerToken.find(model);
    return it == m_prefillMsPerToken.end() ? initialPrefillMsPerToken : it->second;
}

void FrontState::noteFirstEvent(const std::string& model, double tokens, std::chrono::nanoseconds duration)
{
    if (tokens < tokensForPace)
        return;
    const double ms = std::chrono::duration<double, std::milli>(duration).count();
    const double sample = std::max(0.0, ms - firstEventBaseMs) / tokens;
    auto& pace = m_prefillMsPerToken.try_emplace(model, initialPrefillMsPerToken).first->second;
    pace += (sample < pace ? paceFall : paceRise) * (sample - pace);
}

void FrontState::noteDemand(const std::string& service, const ServingRequest& request, double workMs, bool isPlaced)
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

DemandMessage FrontState::takeDemand()
{
    DemandMessage out { .instance = m_instanceId };
    for (auto& [key, demand] : m_demand)
        out.models.push_back(std::move(demand));
    for (const auto& [service, model, adapter] : m_adapterDemand)
        out.adapters.push_back({ .service = service, .model = model, .adapter = adapter });
    out.crashes = m_suspects.takeUnreportedCounts();
    out.unreachable = m_loads.unreachable(unreachableNews);
    m_demand.clear();
    m_adapterDemand.clear();
    m_hasUrgentDemand = false;
    return out;
}

void FrontState::wakeWaiting()
{
    for (auto* it : m_waiting)
        it->cancel();
}

asio::awaitable<void> FrontState::waitForChange(SteadyTime deadline)
{
    asio::steady_timer timer(m_context, deadline);
    m_waiting.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waiting.erase(&timer);
}

} // namespace bulrushstack
