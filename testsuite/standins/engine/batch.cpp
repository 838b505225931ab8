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

/// Prompt tokens processed in one step, so that a long prompt does not stop the other requests.
constexpr double prefillChunk = 256;

SteadyTime now() { return std::chrono::steady_clock::now(); }

} // namespace

Batch::Batch(
    asio::io_context& context, BatchOptions options, StandinState& state, Residency& residency, PrefixCache& cache)
    : m_context(context)
    , m_options(options)
    , m_state(state)
    , m_residency(residency)
    , m_cache(cache)
    , m_wake(context)
{
    asio::co_spawn(m_context, run(), asio::detached);
}

WorkPtr Batch::submit(WorkRequest request, std::string version)
{
    auto work = std::make_shared<Work>(std::move(request));
    work->version = std::move(version);
    work->sequence = ++m_sequence;
    m_residency.acquire(work->request.model, work->version);
    m_queue.push_back(work);
    m_wake.cancel();
    onChange();
    return work;
}

void Batch::cancel(const WorkPtr& work)
{
    if (!work->isOver())
        end(work, WorkState::Cancelled, "cancel");
}

asio::awaitable<void> Batch::run()
{
    auto due = now();
    for (;;) {
        admit();
        if (m_running.empty()) {
            m_wake.expires_at(SteadyTime::max());
            co_await m_wake.async_wait(asTuple);
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
    const auto isBefore = [](const WorkPtr& a, const WorkPtr& b) {
        return std::pair(a->request.priority, a->sequence) < std::pair(b->request.priority, b->sequence);
    };
    std::sort(m_queue.begin(), m_queue.end(), isBefore);
    while (!m_queue.empty() && m_running.size() < m_options.maxBatch) {
        auto work = m_queue.front();
        m_queue.erase(m_queue.begin());
        start(work);
        m_running.push_back(std::move(work));
        onChange();
    }
}

void Batch::start(const WorkPtr& work)
{
    const auto& request = work->request;
    const auto words = tokenize(request.prompt);
    const auto blocks = PrefixCache::blocksOf(request.salt, request.model, words);
    work->state = WorkState::Running;
    work->wasStarted = true;
    work->promptTokens = words.size();
    work->cachedTokens = m_cache.use(blocks) * PrefixCache::blockTokens;
    work->prefillLeft = static_cast<double>(words.size() - work->cachedTokens);
    m_cache.insert(request.salt, request.model, blocks);
    m_state.log({ { "event", "start" }, { "attempt", request.attempt }, { "model", request.model },
        { "version", work->version }, { "salt", request.salt }, { "digest", request.digest },
        { "prompt_tokens", work->promptTokens }, { "cached_tokens", work->cachedTokens } });
}

/// Chooses what the step does and returns its duration in seconds.
double Batch::beginStep()
{
    static constexpr double pause = 0.001; // all requests are held up by faults
    m_decoding.clear();
    m_prefilling = nullptr;
    for (const auto& it : m_running) {
        if (it->prefillLeft <= 0 && it->pausedUntil <= now())
            m_decoding.push_back(it);
        else if (it->prefillLeft > 0 && !m_prefilling)
            m_prefilling = it;
    }
    double cost = static_cast<double>(m_decoding.size()) / m_options.tokensPerSecond;
    if (m_prefilling)
        cost += std::min(prefillChunk, m_prefilling->prefillLeft) / m_options.prefillTokensPerSecond;
    return cost > 0 ? cost : pause;
}

void Batch::endStep()
{
    if (m_prefilling)
        m_prefilling->prefillLeft -= std::min(prefillChunk, m_prefilling->prefillLeft);
    for (const auto& it : std::vector<WorkPtr>(m_decoding)) {
        if (!it->isOver())
            produceToken(it);
    }
}

void Batch::produceToken(const WorkPtr& work)
{
    if (!strikeToken(work))
        return;
    ++work->tokens;
    if (work->tokens == work->request.maxTokens)
        end(work, WorkState::Ended, "end");
    else
        work->notify();
}

/// Lets a fault strike before a token. Returns whether the token is to be produced now.
bool Batch::strikeToken(const WorkPtr& work)
{
    auto action = std::exchange(work->pendingFault, std::nullopt);
    if (!action) {
        const auto fault = m_state.takeFault("token",
            work->request.attempt + " " + work->request.model + " token=" + std::to_string(work->tokens) + " ");
        if (!fault)
            return true;
        if (fault->delay.count() > 0) {
            work->pausedUntil = now() + fault->delay;
            work->pendingFault = fault->action;
            return false;
        }
        action = fault->action;
    }
    if (action == FaultAction::Crash)
        ::_exit(3);
    if (action == FaultAction::Refuse) {
        end(work, WorkState::Failed, "failed");
        return false;
    }
    if (action != FaultAction::Delay)
        work->stopAttachments(*action);
    return true;
}

void Batch::end(const WorkPtr& work, WorkState state, const char* event)
{
    work->state = state;
    work->endedAt = now();
    std::erase(m_queue, work);
    std::erase(m_running, work);
    m_state.log({ { "event", event }, { "attempt", work->request.attempt }, { "model", work->request.model },
        { "tokens", work->tokens } });
    m_residency.release(work->request.model, work->version);
    work->notify();
    m_wake.cancel();
    onChange();
}

} // namespace bulrushstack::standins
