#pragma once

#include "bulrushstack/execution/problem.h"
#include "bulrushstack/net/http_client.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/admission.h"
#include "bulrushstack/serving/retry_policy.h"
#include "bulrushstack/serving/upstream_selection.h"
#include "event_splitter.h"
#include "front_metrics.h"
#include "front_state.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bulrushstack {

/// Asks for adapters to be loaded; implemented by the placement agent.
class AdapterPlacement {
public:
    virtual ~AdapterPlacement() = default;

    /// Returns the id of an upstream that holds the adapter now. Fails with Errc::Unavailable if there is no holder of
    /// the placement lease, or no upstream with the model.
    virtual boost::asio::awaitable<Result<std::string>> placeAdapter(AdapterDemand adapter, SteadyTime deadline) = 0;
};

/// What the runs of all requests use.
struct RequestDependencies {
    FrontState& state;
    HttpClient& client;
    const RequestFormat& format;
    AdapterPlacement& adapters;
    FrontMetrics& metrics;
};

/// The life of one request: admission, choice of upstreams, attempts, relay of the answer.
class RequestForwarder {
public:
    RequestForwarder(RequestDependencies dependencies, HttpExchange& exchange);

    boost::asio::awaitable<void> run();

private:
    struct Attempt {
        std::string upstreamId;
        std::uint64_t startedAt = 0; ///< of the upstream
        Address address;
        SentRequest sentRequest;
        std::unique_ptr<HttpStream> stream;
        UpstreamResponseHead head;
        bool hasFirstResponse = false;
        bool wasSent = false;
    };

    boost::asio::awaitable<void> runAdmitted();
    boost::asio::awaitable<std::optional<RatedUpstream>> chooseUpstream();
    boost::asio::awaitable<bool> waitForResidency();
    boost::asio::awaitable<std::optional<Failure>> attempt(const RatedUpstream& chosen);
    boost::asio::awaitable<std::optional<Failure>> open(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> validateResponseHead(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> relayBufferedResponse(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> relayEventStream(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> sendResponse(HttpResponse response);
    void probeForCrash(const Attempt& attempt);
    boost::asio::awaitable<void> sendError(Problem problem, std::optional<Milliseconds> retryAfter);
    boost::asio::awaitable<void> respondWithFailure(Failure failure);

    void applyResponseState(const Attempt& attempt);
    void recordFirstResponse(Attempt& attempt);
    void finishAttempt(Attempt& attempt, const std::optional<Failure>& failure);
    bool isRejectedForOverload(const RatedUpstream& chosen);
    bool mayRetry(const Failure& failure);
    std::vector<RatedUpstream> rateCandidates() const;
    SteadyTime attemptDeadline() const;
    Milliseconds timeLeft() const;
    SteadyTime residencyDeadline() const;
    std::optional<Problem> admissionProblem();
    unsigned urgency() const;
    void endAfterClientDisconnect(const std::string& detail);
    void logCompletion(std::string_view outcome, unsigned status, const std::string& detail);

    RequestDependencies m_dependencies;
    FrontState& m_state;
    HttpExchange& m_exchange;
    SteadyTime m_receivedAt;
    SteadyTime m_deadline {};
    ServingRequest m_request;
    ServingConfigurationPtr m_configuration;
    const RouteSpec* m_route = nullptr;
    const ServiceSpec* m_service = nullptr;
    std::string m_requestDigest;
    std::shared_ptr<HttpCancellation> m_cancellation = std::make_shared<HttpCancellation>();
    bool m_isClientGone = false;
    bool m_isDone = false; ///< the caller has its answer, or there is nobody to give it to
    bool m_isStreaming = false; ///< the header of the answer went out
    EventSplitter m_eventSplitter;
    std::set<std::string, std::less<>> m_triedUpstreams;
    unsigned m_attemptsSent = 0;
    unsigned m_attemptsMaybeExecuted = 0;
    unsigned m_connectFailures = 0;
    unsigned m_adapterRequests = 0;
    Verdict m_verdict = Verdict::NotRun;
    bool m_wasLastAttemptSent = false; ///< by the last attempt
    std::optional<Milliseconds> m_firstResponseAfter; ///< from receipt to the first event or the whole answer
    std::optional<Milliseconds> m_retryAfter; ///< when the caller shall come back after a refusal for load
    std::string m_lastUpstream;
    std::string m_adapterRefusedBy; ///< upstream that did not hold the adapter although it was expected to
    std::optional<HttpResponse> m_upstreamErrorResponse; ///< an error of an upstream that ran the request
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace bulrushstack
