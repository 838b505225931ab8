#pragma once

#include "batch.h"
#include "load_history.h"

namespace bulrushstack::standins {

struct EngineOptions {
    std::uint64_t incarnation = 1;
    std::string initialModels; ///< "id:version:bytes", separated by commas
    std::string fatalText; ///< a prompt with this text ends the process; empty: none
    std::chrono::nanoseconds reportLag {};
    std::chrono::nanoseconds keepAlive {}; ///< interval of the comments of a silent stream
    std::chrono::nanoseconds streamRetention {}; ///< how long a finished stream can be resumed
    BatchOptions batch;
    PrefixCacheOptions cache;
    ResidencyOptions residency;
};

/// The protocol of a model engine (design, section 14).
class EngineHandler final : public HttpHandler {
public:
    /// Throws std::invalid_argument if the initial models are malformed or exceed the memory.
    EngineHandler(boost::asio::io_context& context, EngineOptions options, StandinState& state);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    boost::asio::awaitable<void> handleCompletion(HttpExchange& exchange);
    boost::asio::awaitable<void> sendCompletion(
        HttpExchange& exchange, CompletionPtr completion, AttachedClient& client);
    boost::asio::awaitable<void> sendCompletionStream(
        HttpExchange& exchange, CompletionPtr completion, AttachedClient& client);
    boost::asio::awaitable<void> writeStream(
        HttpExchange& exchange, CompletionPtr completion, AttachedClient& client, std::size_t offset);
    boost::asio::awaitable<bool> writeEvents(
        HttpExchange& exchange, const Completion& completion, const AttachedClient& client, std::size_t& offset);
    boost::asio::awaitable<void> stopStream(
        HttpExchange& exchange, const Completion& completion, FaultAction action, std::size_t offset);
    boost::asio::awaitable<void> resume(HttpExchange& exchange);
    boost::asio::awaitable<bool> waitForChange(AttachedClient& client);
    boost::asio::awaitable<std::optional<FaultAction>> applyFaultAt(std::string point, std::string subject);

    std::optional<HttpResponse> notReadyResponse(const CompletionRequest& request, std::string* version) const;
    HttpResponse cancelledResponse(const Completion& completion) const;
    HttpResponse cancel(const HttpRequest& request);
    HttpResponse handleControlRequest(const HttpRequest& request);
    HttpResponse transferCache(const HttpRequest& request);
    CompletionPtr findCompletion(const HttpRequest& request) const;
    std::string responseRequestId(const Completion& completion);
    void removeExpiredCompletions();
    void recordLoadReport();

    boost::asio::io_context& m_context;
    EngineOptions m_options;
    StandinState& m_state;
    PrefixCache m_cache;
    Residency m_residency;
    Batch m_batch;
    LoadHistory m_history;
    std::map<std::string, CompletionPtr> m_completions; ///< by attempt id
};

} // namespace bulrushstack::standins
