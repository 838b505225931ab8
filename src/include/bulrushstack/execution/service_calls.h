#pragma once

#include "bulrushstack/engine/service_client.h"
#include "bulrushstack/execution/problem.h"
#include "bulrushstack/execution/request_context.h"
#include "bulrushstack/execution/upstream_selector.h"
#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/platform/table_service.h"
#include "bulrushstack/serving/retry_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace bulrushstack {

/// A caller's call of a plain service.
struct ServiceRequest {
    std::string service;
    HttpRequest request; ///< target relative to the service: PATH?QUERY; without the caller's credentials
    std::string idempotencyKey; ///< empty if the caller sent none

    friend bool operator==(const ServiceRequest&, const ServiceRequest&) = default;
};

/// The answer to a caller, with the verdict of the request.
struct ServiceOutcome {
    std::variant<HttpResponse, Problem> answer;
    Verdict verdict = Verdict::NotRun;
    bool isReplay = false; ///< the recorded answer of an earlier call with the same key

    friend bool operator==(const ServiceOutcome&, const ServiceOutcome&) = default;
};

/// Asks the instance that recorded an attempt what it knows of it: journal-query of the peer protocol.
using JournalQuery
    = std::function<boost::asio::awaitable<Result<nlohmann::json>>(std::string instanceId, nlohmann::json request)>;

struct ServiceCallOptions {
    std::chrono::nanoseconds progressTimeout = std::chrono::seconds(5); ///< longest silence of a service
    std::chrono::nanoseconds maxIdleForNonIdempotent = std::chrono::seconds(1); ///< oldest pooled connection used
    std::chrono::nanoseconds storeTimeout = std::chrono::seconds(1); ///< for one access to the table service
    std::chrono::nanoseconds retention = std::chrono::hours(24); ///< of outcomes; older keys are refused
    std::chrono::nanoseconds removalAge = std::chrono::hours(24 * 7); ///< of journal rows; removed keys count as new
    unsigned attemptLimit = 3; ///< attempts of one request
    std::chrono::nanoseconds retryBackoff
        = std::chrono::milliseconds(25); ///< before the first retry; doubles, with jitter
    std::chrono::nanoseconds pollInterval = std::chrono::milliseconds(50); ///< between two queries of a running attempt
    std::chrono::nanoseconds settleInterval
        = std::chrono::milliseconds(250); ///< before the first retry; as retryBackoff
    std::size_t outstandingLimit = 1024; ///< non-idempotent calls, those included whose row is not settled yet
    std::size_t rememberedAttempts = 8192; ///< ended attempts that peers may ask about
    std::chrono::nanoseconds sweepInterval = std::chrono::seconds(10); ///< between two looks for old rows; zero: none
    std::size_t replayLimit = 64 * 1024; ///< bytes of an answer that is kept for a replay
};

/// What the executor works with; all references outlive it.
struct ServiceCallDependencies {
    boost::asio::io_context& context;
    const Clock& clock;
    InstanceIdentity identity;
    TableService& tables;
    ServiceClient& services;
    UpstreamSelector& selector;
    RetryBudget& retries;
    JournalQuery queryPeer;
};

/// Runs calls of plain services: idempotent ones with retries, non-idempotent ones at most once with a journal.
class ServiceCallExecutor {
public:
    ServiceCallExecutor(ServiceCallDependencies dependencies, ServiceCallOptions options);
    ~ServiceCallExecutor();

    /// Runs the call. A non-idempotent call goes on and is recorded if the awaiting coroutine is destroyed.
    boost::asio::awaitable<ServiceOutcome> execute(RequestContext context, ServiceRequest request);

    /// Answers a journal-query of another instance.
    nlohmann::json answerQuery(const nlohmann::json& request);

    /// Completes when no call and no background work of the journal runs any more, or at the deadline, at which the
    /// background work is given up. Rows that are not settled then are safe, but their keys answer may-have-run.
    boost::asio::awaitable<void> drain(SteadyTime deadline);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bulrushstack
