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
    boost::asio::awaitable<void> complete(HttpExchange& exchange);
    boost::asio::awaitable<void> answerWhole(HttpExchange& exchange, WorkPtr work, Attachment& attachment);
    boost::asio::awaitable<void> answerStream(HttpExchange& exchange, WorkPtr work, Attachment& attachment);
    boost::asio::awaitable<void> writeStream(
        HttpExchange& exchange, WorkPtr work, Attachment& attachment, std::size_t offset);
    boost::asio::awaitable<bool> writeEvents(
        HttpExchange& exchange, const Work& work, const Attachment& attachment, std::size_t& offset);
    boost::asio::awaitable<void> stopStream(
        HttpExchange& exchange, const Work& work, FaultAction action, std::size_t offset);
    boost::asio::awaitable<void> resume(HttpExchange& exchange);
    boost::asio::awaitable<bool> waitForChange(Attachment& attachment);
    boost::asio::awaitable<std::optional<FaultAction>> strikeAt(std::string point, std::string subject);

    std::optional<HttpResponse> refusalFor(const WorkRequest& request, std::string* version) const;
    HttpResponse cancelledAnswer(const Work& work) const;
    HttpResponse cancel(const HttpRequest& request);
    HttpResponse control(const HttpRequest& request);
    HttpResponse transferCache(const HttpRequest& request);
    WorkPtr findWork(const HttpRequest& request) const;
    std::string answerId(const Work& work);
    void dropOldWork();
    void noteChange();

    boost::asio::io_context& m_context;
    EngineOptions m_options;
    StandinState& m_state;
    PrefixCache m_cache;
    Residency m_residency;
    Batch m_batch;
    LoadHistory m_history;
    std::map<std::string, WorkPtr> m_work; ///< by attempt id
};

} // namespace bulrushstack::standins
