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

/// One inference request to an engine.
struct EngineRequest {
    std::string attemptId; ///< echoed by the engine
    std::string path; ///< "/v1/completions" or "/v1/chat/completions"
    std::string body; ///< JSON in OpenAI format, passed on as it is
    unsigned priority = 1; ///< 0 (live), 1 (interactive), 2 (batch)
    std::string cacheSalt; ///< separates the prefix caches and resume handles of teams

    friend bool operator==(const EngineRequest&, const EngineRequest&) = default;
};

/// Time limits of one attempt.
struct AttemptLimits {
    SteadyTime deadline = SteadyTime::max();
    std::chrono::nanoseconds progressTimeout {}; ///< longest silence; zero: no limit but the deadline
    std::chrono::nanoseconds maxIdle = std::chrono::seconds(30); ///< oldest pooled connection to use; zero: a new one
};

/// One event of a stream.
struct StreamEvent {
    std::uint64_t offset = 0; ///< 0, 1, 2, ... without gaps
    std::string data; ///< JSON text as sent by the engine
    bool isEnd = false; ///< the end marker; `offset` and `data` are not set

    friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

/// A stream of events in order.
class EngineStream {
public:
    virtual ~EngineStream() = default;

    /// Returns the next event. Keep-alives count as progress and are not returned. A connection that ends before the
    /// end marker, a gap in the offsets or malformed events are failures with the verdict MayHaveRun.
    virtual boost::asio::awaitable<Result<StreamEvent>> next() = 0;

    /// Closes the connection so that a pending next() fails.
    virtual void close() = 0;
};

enum class ResidentState {
    Loading,
    Ready,
    Unloading,
};

/// A model or adapter in the memory of an engine.
struct ResidentModel {
    std::string model;
    std::string version;
    ResidentState state = ResidentState::Loading;
    std::uint64_t bytes = 0;

    friend auto operator<=>(const ResidentModel&, const ResidentModel&) = default;
};

/// What an engine reports about itself, with a lag.
struct LoadReport {
    std::uint64_t incarnation = 0;
    std::uint64_t queued = 0; ///< requests that wait
    std::uint64_t running = 0; ///< requests in the batch
    double tokensPerSecond = 0;
    std::uint64_t memoryCapacity = 0; ///< bytes
    std::uint64_t memoryUsed = 0; ///< bytes
    std::vector<ResidentModel> resident;

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// An order that changes what an engine holds.
struct EngineOrder {
    std::string orderId;
    std::uint64_t fencingNumber = 0;
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string version;
    std::uint64_t bytes = 0;

    friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

/// The protocol of a model engine. One object serves all engines; the address names the engine.
///
/// Failures carry the verdict of the request. A refusal that states that the request did not start is Errc::Refused
/// with NotRun; an answer for another attempt is Errc::MismatchedResponse.
class EngineClient {
public:
    virtual ~EngineClient() = default;

    /// Sends a request that is not a stream. An engine's error answer (4xx of the engine) is returned as a response.
    virtual boost::asio::awaitable<Result<HttpResponse>> complete(
        Address engine, EngineRequest request, AttemptLimits limits)
        = 0;

    /// Sends a request with "stream": true and returns once the engine has accepted it.
    virtual boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> openStream(
        Address engine, EngineRequest request, AttemptLimits limits)
        = 0;

    /// Continues a stream behind the offset `lastOffset`, or from the beginning if it is empty. Errc::NotFound if the
    /// engine does not know the attempt.
    virtual boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> resumeStream(Address engine,
        std::string attemptId, std::string cacheSalt, std::optional<std::uint64_t> lastOffset, AttemptLimits limits)
        = 0;

    /// Stops the work on an attempt; succeeds if the engine does not know it.
    virtual boost::asio::awaitable<Result<void>> cancel(
        Address engine, std::string attemptId, std::string cacheSalt, SteadyTime deadline)
        = 0;

    virtual boost::asio::awaitable<Result<LoadReport>> loadReport(Address engine, SteadyTime deadline) = 0;

    /// Errc::Conflict for a stale fencing number, Errc::Refused if memory does not suffice, both with NotRun.
    virtual boost::asio::awaitable<Result<void>> order(Address engine, EngineOrder order, SteadyTime deadline) = 0;
};

} // namespace bulrushstack
