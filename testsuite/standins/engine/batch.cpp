#include "batch.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unistd.h>

namespace bulrushstack::standins {

namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Maximum number of prompt tokens processed in one step, so that a long prompt does not stall the other requests.
constexpr double prefillChunkTokens = 256;

SteadyTime now() { return std::chrono::steady_clock::now(); }

} // namespace

Batch::Batch(
    asio::io_context& context, BatchOptions options, StandinState& state, Residency& residency, PrefixCache& cache)
    : m_context(context)
    , m_options(options)
    , m_state(state)
    , m_residency(residency)
    , m_cache(cache)
    , m_wakeTimer(context)
{
    asio::co_spawn(m_context, run(), asio::detached);
}

CompletionPtr Batch::submit(CompletionRequest request, std::string version)
{
    auto completion = std::make_shared<Completion>(std::move(request));
    completion->version = std::move(version);
    completion->sequence = ++m_sequence;
    m_residency.acquire(completion->request.model, completion->version);
    m_queue.push_back(completion);
    m_wakeTimer.cancel();
    onChange();
    return completion;
}

void Batch::cancel(const CompletionPtr& completion)
{
    if (!completion->isFinished())
        end(completion, CompletionState::Cancelled, "cancel");
}

asio::awaitable<void> Batch::run()
{
    auto due = now();
    for (;;) {
        admit();
        if (m_running.empty()) {
            m_wakeTimer.expires_at(SteadyTime::max());
            co_await m_wakeTimer.async_wait(asTuple);
            due = now();
            continue;
        }
        const std::chrono::duration<double> cost(beginStep());
        due += std::chrono::duration_cast<std::chrono::nanoseconds>(cost);
        asio::steady_timer timer(m_context, due);
        co_await timer.async_wait(asTuple);
        endStep();
    }
}

void Batch::admit()
{
    const auto isBefore = [](const CompletionPtr& a, const CompletionPtr& b) {
        return std::pair(a->request.priority, a->sequence) < std::pair(b->request.priority, b->sequence);
    };
    std::sort(m_queue.begin(), m_queue.end(), isBefore);
    while (!m_queue.empty() && m_running.size() < m_options.maxBatch) {
        auto completion = m_queue.front();
        m_queue.erase(m_queue.begin());
        start(completion);
        m_running.push_back(std::move(completion));
        onChange();
    }
}

void Batch::start(const CompletionPtr& completion)
{
    const auto& request = completion->request;
    const auto words = tokenize(request.prompt);
    const auto blocks = PrefixCache::blockNames(request.salt, request.model, words);
    completion->state = CompletionState::Running;
    completion->wasStarted = true;
    completion->promptTokens = words.size();
    completion->cachedTokens = m_cache.lookUp(blocks) * PrefixCache::blockTokens;
    completion->remainingPrefillTokens = static_cast<double>(words.size() - completion->cachedTokens);
    m_cache.insert(request.salt, request.model, blocks);
    m_state.log({ { "event", "start" }, { "attempt", request.attempt }, { "model", request.model },
        { "version", completion->version }, { "salt", request.salt }, { "digest", request.digest },
        { "prompt_tokens", completion->promptTokens }, { "cached_tokens", completion->cachedTokens } });
}

/// Selects the requests that take part in the next step. Returns the duration of the step in seconds.
double Batch::beginStep()
{
    static constexpr double idleStepSeconds = 0.001; // used while delay faults pause all running requests
    m_decoding.clear();
    m_prefilling = nullptr;
    for (const auto& it : m_running) {
        if (it->remainingPrefillTokens <= 0 && it->pausedUntil <= now())
            m_decoding.push_back(it);
        else if (it->remainingPrefillTokens > 0 && !m_prefilling)
            m_prefilling = it;
    }
    double cost = static_cast<double>(m_decoding.size()) / m_options.tokensPerSecond;
    if (m_prefilling)
        cost += std::min(prefillChunkTokens, m_prefilling->remainingPrefillTokens) / m_options.prefillTokensPerSecond;
    return cost > 0 ? cost : idleStepSeconds;
}

void Batch::endStep()
{
    if (m_prefilling)
        m_prefilling->remainingPrefillTokens -= std::min(prefillChunkTokens, m_prefilling->remainingPrefillTokens);
    for (const auto& it : std::vector<CompletionPtr>(m_decoding)) {
        if (!it->isFinished())
            produceToken(it);
    }
}

void Batch::produceToken(const CompletionPtr& completion)
{
    if (!applyTokenFault(completion))
        return;
    ++completion->tokens;
    if (completion->tokens == completion->request.maxTokens)
        end(completion, CompletionState::Ended, "end");
    else
        completion->notify();
}

/// Applies a fault that is armed for the next token. Returns whether the token is to be generated in this step.
bool Batch::applyTokenFault(const CompletionPtr& completion)
{
    auto action = std::exchange(completion->pendingFault, std::nullopt);
    if (!action) {
        const auto fault = m_state.consumeFault("token",
            completion->request.attempt + " " + completion->request.model
                + " token=" + std::to_string(completion->tokens) + " ");
        if (!fault)
            return true;
        if (fault->delay.count() > 0) {
            completion->pausedUntil = now() + fault->delay;
            completion->pendingFault = fault->action;
            return false;
        }
        action = fault->action;
    }
    if (action == FaultAction::Crash)
        ::_exit(3);
    if (action == FaultAction::Refuse) {
        end(completion, CompletionState::Failed, "failed");
        return false;
    }
    if (action != FaultAction::Delay)
        completion->stopAttachedClients(*action);
    return true;
}

void Batch::end(const CompletionPtr& completion, CompletionState state, const char* event)
{
    completion->state = state;
    completion->endedAt = now();
    std::erase(m_queue, completion);
    std::erase(m_running, completion);
    m_state.log({ { "event", event }, { "attempt", completion->request.attempt },
        { "model", completion->request.model }, { "tokens", completion->tokens } });
    m_residency.release(completion->request.model, completion->version);
    completion->notify();
    m_wakeTimer.cancel();
    onChange();
}

} // namespace bulrushstack::standins
