#pragma once

#include "completion.h"
#include "prefix_cache.h"
#include "residency.h"

#include <vector>

namespace bulrushstack::standins {

struct BatchOptions {
    double tokensPerSecond = 0; ///< total decode rate, shared by the running requests
    double prefillTokensPerSecond = 0; ///< total prefill rate, shared by the running requests
    std::size_t maxBatch = 0; ///< maximum number of running requests
};

/// Simulates an engine with continuous batching. Each step generates one token for every running request that has
/// finished its prefill, and processes a chunk of the prompt of one other request. Queued requests are admitted by
/// priority, then by arrival, whenever fewer than BatchOptions::maxBatch requests are running.
class Batch {
public:
    Batch(boost::asio::io_context& context, BatchOptions options, StandinState& state, Residency& residency,
        PrefixCache& cache);

    /// Queues a request. The given version of its model must be resident and ready.
    CompletionPtr submit(CompletionRequest request, std::string version);

    /// Cancels a queued or running request. Has no effect on a finished one.
    void cancel(const CompletionPtr& completion);

    std::size_t queued() const { return m_queue.size(); }
    std::size_t running() const { return m_running.size(); }

    /// Called when the number of queued or running requests has changed.
    std::function<void()> onChange = [] {};

private:
    boost::asio::awaitable<void> run();
    void admit();
    void start(const CompletionPtr& completion);
    double beginStep();
    void endStep();
    void produceToken(const CompletionPtr& completion);
    void end(const CompletionPtr& completion, CompletionState state, const char* event);
    bool applyTokenFault(const CompletionPtr& completion);

    boost::asio::io_context& m_context;
    BatchOptions m_options;
    StandinState& m_state;
    Residency& m_residency;
    PrefixCache& m_cache;
    boost::asio::steady_timer m_wakeTimer;
    std::vector<CompletionPtr> m_queue;
    std::vector<CompletionPtr> m_running;
    std::vector<CompletionPtr> m_decoding; ///< requests that get a token at the end of the current step
    CompletionPtr m_prefilling; ///< request whose prompt is processed in the current step; may be null
    std::uint64_t m_sequence = 0;
};

} // namespace bulrushstack::standins
