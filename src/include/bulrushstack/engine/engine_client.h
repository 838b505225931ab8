#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/result.h"
#include "bulrushstack/kernel/settings.h"
#include "bulrushstack/net/http.h"
#include "bulrushstack/serving/upstream_order.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// An inference request to an engine.
struct EngineRequest {
    std::string attemptId; ///< id of this attempt, sent as X-Request-Id; the engine repeats it in its response
    std::string path; ///< API endpoint: "/v1/completions" or "/v1/chat/completions"
    std::string body; ///< JSON in the OpenAI format, forwarded unchanged
    unsigned priority = 1; ///< priority class, sent as X-Priority: 0 (live), 1 (interactive) or 2 (batch)
    std::string cacheSalt; ///< keeps teams from sharing prefix cache entries and from resuming each other's streams

    friend bool operator==(const EngineRequest&, const EngineRequest&) = default;
};

/// Time limits of one attempt to send a request to an upstream.
struct AttemptLimits {
    SteadyTime deadline = SteadyTime::max();
    /// Maximum time without receiving data. Zero means that only the deadline applies.
    std::chrono::nanoseconds progressTimeout {};
    /// Maximum time that a reused connection may have been idle. Zero always opens a new connection.
    std::chrono::nanoseconds maxIdle = std::chrono::seconds(30);
};

/// One event of a token stream.
struct StreamEvent {
    std::uint64_t offset = 0; ///< index of the event in the stream: 0, 1, 2, ... without gaps
    std::string data; ///< JSON object as sent by the engine
    bool isEnd = false; ///< whether this is the end of the stream; `offset` and `data` are then not set

    friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

/// A token stream from an engine, which returns its events in order.
class EngineStream {
public:
    virtual ~EngineStream() = default;

    /// Returns the next event. Keep-alive comments are not returned but count as progress for the progress timeout. A
    /// connection that ends before the end marker, a gap in the offsets and malformed events are failures with the
    /// verdict MayHaveRun.
    virtual boost::asio::awaitable<Result<StreamEvent>> next() = 0;

    /// Closes the connection, which makes a pending next() fail.
    virtual void close() = 0;
};

/// State of a model or adapter in the memory of an engine.
enum class ResidentState {
    Loading,
    Ready,
    Unloading,
};

/// A model or adapter that occupies memory of an engine.
struct ResidentModel {
    std::string model;
    std::string version;
    ResidentState state = ResidentState::Loading;
    std::uint64_t bytes = 0; ///< memory that it occupies, in bytes

    friend auto operator<=>(const ResidentModel&, const ResidentModel&) = default;
};

/// The load and memory use that an engine reports; the values may lag behind its current state.
struct LoadReport {
    std::uint64_t incarnation = 0; ///< higher in each new process of the engine
    std::uint64_t queued = 0; ///< number of waiting requests
    std::uint64_t running = 0; ///< number of requests in the running batch
    double tokensPerSecond = 0;
    std::uint64_t memoryCapacity = 0; ///< total memory, in bytes
    std::uint64_t memoryUsed = 0; ///< used memory, in bytes
    std::vector<ResidentModel> resident;

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// An order, which is a command to an engine to load or unload a model.
struct EngineOrder {
    std::string orderId;
    std::uint64_t fencingNumber = 0; ///< fencing token; the engine rejects a lower number than it has seen
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string version;
    std::uint64_t bytes = 0; ///< memory that the model needs, in bytes

    friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

/// Client for inference engines. One object serves all engines; the address parameter selects the engine.
///
/// A failure has the verdict of the request. If the engine states that it did not start the request (429 or 503 with
/// X-Not-Started: 1), the failure is Errc::Refused with NotRun. A response with the X-Request-Id of another attempt is
/// Errc::MismatchedResponse with MayHaveRun.
class EngineClient {
public:
    virtual ~EngineClient() = default;

    /// Sends a non-streaming request. A 4xx response of the engine is returned as a response and not as a failure.
    virtual boost::asio::awaitable<Result<HttpResponse>> complete(
        Address engine, EngineRequest request, AttemptLimits limits)
        = 0;

    /// Sends a request with "stream": true. Completes when the engine has accepted it by sending the response header.
    virtual boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> openStream(
        Address engine, EngineRequest request, AttemptLimits limits)
        = 0;

    /// Resumes a stream after the event with offset `lastOffset`, or from the beginning if `lastOffset` is empty. Fails
    /// with Errc::NotFound if the engine does not know the attempt. Every failure has the verdict MayHaveRun.
    virtual boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> resumeStream(Address engine,
        std::string attemptId, std::string cacheSalt, std::optional<std::uint64_t> lastOffset, AttemptLimits limits)
        = 0;

    /// Cancels an attempt on the engine. Succeeds if the engine does not know the attempt.
    virtual boost::asio::awaitable<Result<void>> cancel(
        Address engine, std::string attemptId, std::string cacheSalt, SteadyTime deadline)
        = 0;

    /// Requests the current load report of the engine.
    virtual boost::asio::awaitable<Result<LoadReport>> loadReport(Address engine, SteadyTime deadline) = 0;

    /// Sends an order. Fails with Errc::Conflict if the fencing number is stale and with Errc::Refused if the engine
    /// has too little memory, both with NotRun.
    virtual boost::asio::awaitable<Result<void>> order(Address engine, EngineOrder order, SteadyTime deadline) = 0;
};

} // namespace bulrushstack
