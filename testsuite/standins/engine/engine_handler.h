#pragma once

#include "batch.h"
#include "load_history.h"

namespace bulrushstack::standins {

struct EngineOptions {
    std::uint64_t incarnation = 1; ///< reported in load reports
    std::string initialModels; ///< models resident at startup, as "id:version:bytes" separated by commas
    std::string fatalText; ///< a prompt that contains this text crashes the process; empty: no such text
    std::chrono::nanoseconds reportLag {}; ///< age of the load reports returned by GET /load
    std::chrono::nanoseconds keepAlive {}; ///< interval of keep-alive comments on a stream without new tokens
    std::chrono::nanoseconds streamRetention {}; ///< time for which a finished stream can be resumed
    BatchOptions batch;
    PrefixCacheOptions cache;
    ResidencyOptions residency;
};

/// HTTP interface of an inference engine: completions, streams that can be resumed, load reports, cache events, orders
/// to load and unload models, and transfer of prefix cache blocks.
class EngineHandler final : public HttpHandler {
public:
    /// Throws std::invalid_argument if the list of initial models is malformed or the models do not fit into memory.
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
    std::map<std::string, CompletionPtr> m_completions; ///< accepted requests, by attempt ID
};

} // namespace bulrushstack::standins
