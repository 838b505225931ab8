#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/execution/problem.h"
#include "bulrushstack/execution/request_context.h"
#include "bulrushstack/execution/upstream_selector.h"
#include "bulrushstack/execution/wakeable_timer.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/retry_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// A validated request for a completion or chat completion.
struct ModelRequest {
    std::string path; ///< "/v1/completions" or "/v1/chat/completions"
    std::string body; ///< JSON, forwarded to the engine unchanged
    std::string model; ///< model or adapter id
    std::string promptPrefix; ///< first 256 bytes of the prompt text
    bool isStream = false;
    bool isDeterministic = false; ///< a retry produces the same output: temperature 0 or a seed, and only one choice

    friend bool operator==(const ModelRequest&, const ModelRequest&) = default;
};

struct ModelRequestOptions {
    std::string zone; ///< availability zone of this instance
    unsigned attemptLimit = 3; ///< attempts per request, each on a different upstream as long as there are enough
    unsigned resumeLimit = 3; ///< consecutive resumes of a stream that deliver no new event
    std::chrono::nanoseconds streamProgressTimeout = std::chrono::seconds(5); ///< longest time without data on a stream
    /// Longest time without data while waiting for a non-streaming response.
    std::chrono::nanoseconds responseProgressTimeout = std::chrono::seconds(30);
    /// Time after which a pending non-streaming response is probed on a second connection.
    std::chrono::nanoseconds responseProbeDelay = std::chrono::seconds(2);
    /// Time for a response to arrive after the probe saw that the engine has finished it.
    std::chrono::nanoseconds lateResponseGrace = std::chrono::milliseconds(500);
    /// Delay before the first retry; doubles with every attempt.
    std::chrono::nanoseconds backoffBase = std::chrono::milliseconds(20);
    std::chrono::nanoseconds backoffLimit = std::chrono::milliseconds(500); ///< longest delay before a retry
    /// Time without output after which the caller gets an SSE comment.
    std::chrono::nanoseconds keepAliveInterval = std::chrono::seconds(3);
    /// Interval of the checks whether the caller has disconnected.
    std::chrono::nanoseconds disconnectCheckInterval = std::chrono::milliseconds(500);
    /// Timeout of one cancellation request to an engine.
    std::chrono::nanoseconds cancelTimeout = std::chrono::seconds(2);
    std::uint64_t randomSeed = 0; ///< seed of the backoff jitter
};

/// Dependencies of ModelRequestExecutor. All referenced objects must outlive it.
struct ModelRequestDependencies {
    boost::asio::io_context& context;
    const Clock& clock;
    EngineClient& engines;
    UpstreamSelector& selector;
    RetryBudget& retries;
    TimerFactory timerFactory;
};

/// The result of a request, for the log and the metrics.
struct ModelRequestReport {
    unsigned status = 0; ///< status sent to the caller; 0 if the caller disconnected before
    std::optional<ProblemCode> problem; ///< set if the caller received a problem document or an error event
    Verdict verdict = Verdict::NotRun;
    unsigned attempts = 0; ///< number of requests sent to upstreams
    unsigned resumes = 0; ///< number of times a stream was resumed on the same upstream
    bool isCallerGone = false; ///< the caller disconnected before the end of the response
    std::optional<SteadyTime> firstTokenTime; ///< when the first event or the non-streaming response was forwarded

    friend bool operator==(const ModelRequestReport&, const ModelRequestReport&) = default;
};

/// Runs model requests on engines. Failed attempts are retried; broken streams are resumed where the engine still has
/// them. All methods must be called on the same thread.
class ModelRequestExecutor {
public:
    ModelRequestExecutor(ModelRequestDependencies dependencies, ModelRequestOptions options);
    ~ModelRequestExecutor();

    /// Runs the request and responds to the caller. The exchange must outlive the returned awaitable.
    boost::asio::awaitable<ModelRequestReport> execute(
        RequestContext context, ModelRequest request, HttpExchange& exchange);

    /// Completes at the deadline, or earlier when no abandoned attempt and no cancellation request is in progress.
    boost::asio::awaitable<void> drain(SteadyTime deadline);

    struct State;

private:
    std::shared_ptr<State> m_state;
};

/// Returns the salt with which engines separate the prefix caches and resumable streams of a team from those of others.
std::string cacheSaltOf(std::string_view team);

/// Returns the key of prefix-cache affinity: requests of a team with the same prompt prefix prefer the same upstream.
std::string affinityKeyOf(std::string_view cacheSalt, std::string_view promptPrefix);

} // namespace bulrushstack
