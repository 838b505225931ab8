#pragma once

#include "bulrushstack/execution/problem.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/serving/admission.h"
#include "bulrushstack/serving/retry_policy.h"
#include "bulrushstack/serving/upstream_selection.h"
#include "event_splitter.h"
#include "request_dependencies.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bulrushstack {

/// Returns whether the status of a response promises that its request was not executed.
inline bool impliesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Returns the failure of an attempt whose response is unusable, so that its request may have run.
inline Failure invalidResponse(Errc code, std::string detail)
{
    return { .code = code, .verdict = Verdict::MayHaveRun, .detail = std::move(detail) };
}

/// Handles one request of a client: admission, choice of upstreams, attempts, and relaying of the response.
class RequestForwarder final : private AbortableRequest {
public:
    RequestForwarder(
        RequestDependencies dependencies, HttpExchange& exchange, std::optional<RelayedRequest> relayed = {});
    ~RequestForwarder() override;

    RequestForwarder(const RequestForwarder&) = delete;
    RequestForwarder& operator=(const RequestForwarder&) = delete;

    boost::asio::awaitable<void> run();

private:
    struct Attempt {
        std::string upstreamId;
        /// Start time of the upstream's process, in Unix milliseconds.
        std::uint64_t startedAt = 0;
        std::string softwareVersion;
        Address address;
        SentRequest sentRequest;
        /// Until the upstream has finished with the request.
        UpstreamLoads::RequestScope load;
        std::unique_ptr<HttpStream> stream;
        UpstreamResponseHead head;
        bool hasFirstResponse = false;
        bool wasSent = false;
        /// Times of the first and of the last events of a stream.
        SteadyTime firstEventAt {};
        SteadyTime lastEventAt {};
        /// Set if the response ends with its connection.
        std::shared_ptr<ProcessMonitor> process;
        /// Whether the end of the response showed that its process has ended as well.
        bool hasProcessEnded = false;

        bool mayPromptHaveCrashedUpstream() const;
    };

    void abort() override;
    boost::asio::awaitable<void> runAdmitted();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<bool> obtainQuota();
    void giveBackQuota();
    /// Returns the request as the client sent it.
    const HttpRequest& clientRequest() const { return m_relayed ? m_relayed->request : m_exchange.request(); }
    bool mayRelay() const;
    boost::asio::awaitable<bool> relayToPeer();
    boost::asio::awaitable<std::optional<Failure>> relayPeerResponse(HttpStream& stream);
    boost::asio::awaitable<std::optional<Failure>> relayPeerStream(HttpStream& stream);
    /// Returns whether the request takes up a stream that broke off.
    bool isTakeUp() const { return !m_request.resumedRequest.empty(); }
    boost::asio::awaitable<bool> findStreamVersion();
    boost::asio::awaitable<std::optional<std::string>> findOnlyVersion(OriginLookup lookup);
    void recordStreamOrigin(const Attempt& attempt);
    boost::asio::awaitable<std::optional<RankedUpstream>> chooseUpstream();
    boost::asio::awaitable<std::optional<RankedUpstream>> approve(const RankedUpstream& candidate);
    bool mustConfirmVersion(const std::string& upstream) const;
    boost::asio::awaitable<bool> confirmVersion(std::string upstream);
    bool confirmVersionByConnection(const std::string& upstream);
    std::optional<SteadyTime> provenConnectionLimit() const;
    boost::asio::awaitable<bool> confirmOrigin(StreamOrigin origin);
    boost::asio::awaitable<bool> confirmOriginByRow(StreamOrigin origin);
    boost::asio::awaitable<bool> mayGoOn();
    bool areUpstreamsFull() const;
    bool mayAwaitSuspended(Milliseconds suspension) const;
    boost::asio::awaitable<bool> waitForResidency();
    boost::asio::awaitable<std::optional<Failure>> attempt(const RankedUpstream& chosen);
    boost::asio::awaitable<std::optional<Failure>> open(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> validateResponseHead(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> relayBufferedResponse(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> relayEventStream(Attempt& attempt);
    boost::asio::awaitable<ResponseEndFacts> observeEnd(const Attempt& attempt, SteadyTime endedAt);
    boost::asio::awaitable<std::optional<Failure>> confirmEnd(Attempt& attempt);
    boost::asio::awaitable<void> beginClientStream(Attempt& attempt);
    boost::asio::awaitable<void> completeStream(Attempt& attempt);
    boost::asio::awaitable<std::optional<Failure>> sendResponse(HttpResponse response);
    bool wasEndExpected(const Attempt& attempt) const;
    void probeForCrash(const Attempt& attempt);
    boost::asio::awaitable<void> sendError(Problem problem, std::optional<Milliseconds> retryAfter);
    boost::asio::awaitable<void> respondWithFailure(Failure failure);
    boost::asio::awaitable<void> endQuarantined(Problem problem);

    bool isOwnResponse(const Attempt& attempt) const;
    bool isEventStream(const HttpStream& stream) const;
    void applyResponseState(const Attempt& attempt);
    void applyRateLimit(const Attempt& attempt);
    void applyRefusal(const Attempt& attempt);
    void recordFirstResponse(Attempt& attempt);
    void recordEvents(Attempt& attempt);
    std::optional<Failure> truncationFailure(const Attempt& attempt) const;
    void finishAttempt(Attempt& attempt, const std::optional<Failure>& failure);
    bool isRejectedForOverload(const RankedUpstream& chosen);
    bool mayRetry(const Failure& failure);
    std::vector<RankedUpstream> rankCandidates() const;
    SteadyTime attemptDeadline() const;
    SteadyTime effectiveDeadline() const;
    Milliseconds timeLeft() const;
    bool isTooLateToStart() const;
    boost::asio::awaitable<void> endForShutdown();
    SteadyTime residencyDeadline() const;
    std::optional<Problem> admissionProblem();
    std::optional<Problem> identificationProblem();
    std::optional<Problem> quarantineProblem() const;
    bool isTrialDue() const;
    boost::asio::awaitable<void> obtainTrial();
    void recordTrialSent();
    unsigned urgency() const;
    void endAfterClientDisconnect(const std::string& detail);
    void logCompletion(std::string_view outcome, unsigned status, const std::string& detail);

    RequestDependencies m_dependencies;
    FrontState& m_state;
    std::shared_ptr<ActiveRequests> m_activeRequests;
    HttpExchange& m_exchange;
    /// The request if another instance handed it to this one. It is not handed on.
    std::optional<RelayedRequest> m_relayed;
    bool m_isRelayTried = false;
    SteadyTime m_receivedAt;
    SteadyTime m_deadline {};
    ServingRequest m_request;
    ServingConfigurationPtr m_configuration;
    const RouteSpec* m_route = nullptr;
    const ServiceSpec* m_service = nullptr;
    const TeamSpec* m_team = nullptr; ///< Team of the caller; null if it belongs to none.
    double m_chargedUnits = 0; ///< Units of the team's quota that the request was charged.
    /// What the request contains that may crash upstreams.
    std::vector<CrashSuspect> m_crashSuspects;
    /// Quarantined contents with which the request may be sent to one upstream as a trial.
    std::vector<SuspectId> m_trial;
    std::shared_ptr<HttpCancellation> m_cancellation = std::make_shared<HttpCancellation>();
    bool m_isClientGone = false;
    /// Whether this instance ends the request since it is stopping.
    bool m_isAborted = false;
    /// Whether the client has its response, or is no longer there to receive it.
    bool m_isDone = false;
    /// Whether the header of the response was sent to the client.
    bool m_isStreaming = false;
    /// Software version of the upstream that began the stream. Only upstreams with this version can continue it.
    std::optional<std::string> m_streamVersion;
    /// Where the stream began, unless the request takes it up.
    std::optional<StreamOrigin> m_origin;
    SteadyTime m_beganAt {}; ///< Time of the first event of m_origin.
    bool m_isOriginProven = false; ///< Whether the first event came on a connection that proves the version.
    /// Set if the next attempt must use a connection that was established before, since only that proves the version.
    std::optional<SteadyTime> m_establishedBefore;
    /// Time until which the store is not asked again for the rows of upstreams.
    SteadyTime m_storeUnreadableUntil {};
    /// Upstreams whose row in the store names the software version of the stream.
    std::set<std::string> m_confirmedUpstreams;
    /// Permit for the next attempt.
    Permit m_permit;
    EventSplitter m_eventSplitter;
    /// Memory of the incomplete event in m_eventSplitter.
    BufferShare m_eventBuffer;
    /// Framing of the last response whose body was read.
    std::optional<BodyFraming> m_responseFraming;
    /// Size of the incomplete event at which the last response stream ended, in bytes.
    std::size_t m_partialEventBytes = 0;
    std::set<std::string, std::less<>> m_triedUpstreams;
    unsigned m_attemptsSent = 0;
    unsigned m_attemptsMaybeExecuted = 0;
    unsigned m_connectFailures = 0;
    unsigned m_adapterRequests = 0;
    Verdict m_verdict = Verdict::NotRun;
    /// Whether the last attempt sent any bytes of the request to its upstream.
    bool m_wasLastAttemptSent = false;
    /// Connection on which the last attempt got a response; its number is 0 if there was no response.
    HttpConnectionInfo m_lastConnection;
    /// Time from receipt of the request to the first event or the complete response.
    std::optional<Milliseconds> m_firstResponseAfter;
    std::optional<SteadyTime> m_lastEventAt;
    Milliseconds m_longestGap {}; ///< Longest time between two events of the response.
    /// Time after which the client should retry, if the request is rejected because its upstreams are overloaded or
    /// pausing.
    std::optional<Milliseconds> m_retryAfter;
    std::string m_lastUpstream;
    /// Id of the upstream that last rejected the request as misdirected, if the request names an adapter.
    std::string m_adapterRefusedBy;
    /// Error response of an upstream that executed the request; sent to the client if no other attempt succeeds.
    std::optional<HttpResponse> m_upstreamErrorResponse;
    /// Expires with this object; tells the callback for a disconnected client that the object no longer exists.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace bulrushstack
