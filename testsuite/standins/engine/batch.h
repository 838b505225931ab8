#pragma once

#include "completion.h"
#include "prefix_cache.h"
#include "residency.h"

#include <vector>

namespace bulrushstack::standins {

struct BatchOptions {
    double tokensPerSecond = 0; ///< shared by the running requests
    double prefillTokensPerSecond = 0; ///< shared by the running requests
    std::size_t maxBatch = 0;
};

/// Continuous batching: in each step every running request gets one token, or a part of its prompt is processed.
/// Queued requests join by priority, then by arrival, as soon as there is room.
class Batch {
public:
    Batch(boost::asio::io_context& context, BatchOptions options, StandinState& state, Residency& residency,
        PrefixCache& cache);

    /// Queues a request for a model that is ready.
    CompletionPtr submit(CompletionRequest request, std::string version);

    /// Ends a request without its remaining tokens; has no effect on one that is over.
    void cancel(const CompletionPtr& completion);

    std::size_t queued() const { return m_queue.size(); }
    std::size_t running() const { return m_running.size(); }

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
    std::vector<CompletionPtr> m_decoding; ///< get a token at the end of the step
    CompletionPtr m_prefilling; ///< gets a part of its prompt processed in the step
    std::uint64_t m_sequence = 0;
};

} // namespace bulrushstack::standins
