#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/execution/alarm.h"
#include "bulrushstack/execution/problem.h"
#include "bulrushstack/execution/request_context.h"
#include "bulrushstack/execution/upstream_selector.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/retry_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// A caller's completion or chat completion, checked.
struct ModelRequest {
    std::string path; ///< "/v1/completions" or "/v1/chat/completions"
    std::string body; ///< JSON, passed on unchanged
    std::string model; ///< model or adapter id
    std::string promptPrefix; ///< first 256 bytes of the prompt text
    bool isStream = false;
    bool isDeterministic = false; ///< a repetition gives the same answer: temperature 0 or a seed, one choice

    friend bool operator==(const ModelRequest&, const ModelRequest&) = default;
};

struct ModelRequestOptions {
    std::string zone; ///< availability zone of this instance
    unsigned attemptLimit = 3; ///< attempts of one request, each on an upstream of its own where there are enough
    unsigned resumeLimit = 3; ///< resumes in a row that bring no new event
    std::chrono::nanoseconds streamProgressTimeout = std::chrono::seconds(5); ///< longest silence of a stream
    std::chrono::nanoseconds answerProgressTimeout = std::chrono::seconds(30); ///< longest silence of a whole answer
    std::chrono::nanoseconds answerWatchDelay
        = std::chrono::seconds(2); ///< after which a whole answer is followed on a second connection
    std::chrono::nanoseconds answerGrace
        = std::chrono::milliseconds(500); ///< for an answer to arrive after the engine has finished it
    std::chrono::nanoseconds backoffBase = std::chrono::milliseconds(20); ///< doubles with every attempt
    std::chrono::nanoseconds backoffLimit = std::chrono::milliseconds(500);
    std::chrono::nanoseconds keepAliveInterval = std::chrono::seconds(3); ///< between comments to a waiting caller
    std::chrono::nanoseconds callerCheckInterval
        = std::chrono::milliseconds(500); ///< how soon a lost caller is noticed
    std::chrono::nanoseconds cancelTimeout = std::chrono::seconds(2); ///< for one cancel order to an engine
    std::uint64_t randomSeed = 0; ///< of the jitter
};

/// What the executor works with; all references outlive it.
struct ModelRequestDependencies {
    boost::asio::io_context& context;
    const Clock& clock;
    EngineClient& engines;
    UpstreamSelector& selector;
    RetryBudget& retries;
    AlarmFactory alarms;
};

/// How a request ended, for the log and the metrics.
struct ModelRequestReport {
    unsigned status = 0; ///< status sent to the caller; 0 if the caller was gone before
    std::optional<ProblemCode> problem; ///< set if the caller got a problem document or an error event
    Verdict verdict = Verdict::NotRun;
    unsigned attempts = 0; ///< requests sent to upstreams
    unsigned resumes = 0; ///< streams resumed on the same upstream
    bool isCallerGone = false;
    std::optional<SteadyTime> firstToken; ///< when the first event or the whole answer was passed on

    friend bool operator==(const ModelRequestReport&, const ModelRequestReport&) = default;
};

/// Runs model requests on engines: whole answers with retries, streams with resume.
class ModelRequestExecutor {
public:
    ModelRequestExecutor(ModelRequestDependencies dependencies, ModelRequestOptions options);
    ~ModelRequestExecutor();

    /// Runs the request and answers the caller. The exchange must outlive the returned awaitable.
    boost::asio::awaitable<ModelRequestReport> execute(
        RequestContext context, ModelRequest request, HttpExchange& exchange);

    /// Completes when no abandoned attempt and no cancel order runs any more, or at the deadline.
    boost::asio::awaitable<void> drain(SteadyTime deadline);

    struct State;

private:
    std::shared_ptr<State> m_state;
};

/// Returns what separates a team's prefix caches and resume handles from those of other teams.
std::string cacheSaltOf(std::string_view team);

/// Returns the key under which requests with the same prompt prefix of a team prefer the same upstream.
std::string affinityKeyOf(std::string_view cacheSalt, std::string_view promptPrefix);

} // namespace bulrushstack
