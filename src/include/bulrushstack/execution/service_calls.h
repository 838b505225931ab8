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

/// A caller's call of a backend HTTP service ("plain" service, as opposed to a model engine).
struct ServiceRequest {
    std::string service;
    HttpRequest request; ///< the target is relative to the service (PATH?QUERY); the caller's credentials are removed
    std::string idempotencyKey; ///< value of Idempotency-Key; empty if the caller sent none

    friend bool operator==(const ServiceRequest&, const ServiceRequest&) = default;
};

/// The response or problem for the caller, with the verdict of the request.
struct ServiceOutcome {
    std::variant<HttpResponse, Problem> result;
    Verdict verdict = Verdict::NotRun;
    bool isReplay = false; ///< the result is the recorded response of an earlier call with the same key

    friend bool operator==(const ServiceOutcome&, const ServiceOutcome&) = default;
};

/// Sends a "journal-query" to the instance that wrote a journal row, to learn the state of its attempt.
using JournalQuery
    = std::function<boost::asio::awaitable<Result<nlohmann::json>>(std::string instanceId, nlohmann::json request)>;

struct ServiceCallOptions {
    std::chrono::nanoseconds progressTimeout = std::chrono::seconds(5); ///< longest time without data from a service
    /// Longest idle time of a pooled connection that a non-idempotent call may use.
    std::chrono::nanoseconds maxIdleForNonIdempotent = std::chrono::seconds(1);
    std::chrono::nanoseconds storeTimeout = std::chrono::seconds(1); ///< timeout of one access to the table service
    std::chrono::nanoseconds retention = std::chrono::hours(24); ///< how long outcomes are kept; older keys are refused
    /// Age at which journal rows are removed; the keys of removed rows count as new.
    std::chrono::nanoseconds rowRemovalAge = std::chrono::hours(24 * 7);
    unsigned attemptLimit = 3; ///< attempts per request
    /// Delay before the first retry; doubles with every attempt, with jitter.
    std::chrono::nanoseconds retryBackoff = std::chrono::milliseconds(25);
    /// Time between two journal-queries about an attempt that is running.
    std::chrono::nanoseconds writerPollInterval = std::chrono::milliseconds(50);
    /// Delay before the first retry of a journal write; doubles up to 64 times the value, with jitter.
    std::chrono::nanoseconds journalRetryInterval = std::chrono::milliseconds(250);
    /// Limit of non-idempotent calls, including those whose journal row is not in its final state.
    std::size_t outstandingLimit = 1024;
    std::size_t endedAttemptLimit = 8192; ///< number of ended attempts that are remembered to answer journal-queries
    /// Time between two sweeps of the journal for old rows; zero disables the sweep.
    std::chrono::nanoseconds sweepInterval = std::chrono::seconds(10);
    std::size_t replaySizeLimit = 64 * 1024; ///< largest response in bytes, headers included, that is kept for a replay
};

/// Dependencies of ServiceCallExecutor. All referenced objects must outlive it.
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

/// Runs calls of backend HTTP services. Idempotent calls are retried. A non-idempotent call is executed at most once:
/// it is recorded in a journal, a table of the table service with one row per team and idempotency key, before it is
/// sent. All methods must be called on the same thread.
class ServiceCallExecutor {
public:
    ServiceCallExecutor(ServiceCallDependencies dependencies, ServiceCallOptions options);
    ~ServiceCallExecutor();

    /// Runs the call. A non-idempotent call continues and is recorded even if the awaiting coroutine is destroyed.
    boost::asio::awaitable<ServiceOutcome> execute(RequestContext context, ServiceRequest request);

    /// Returns the reply to a journal-query of another instance.
    nlohmann::json answerJournalQuery(const nlohmann::json& request);

    /// Completes when no call and no background work on the journal is left. At the deadline the background work is
    /// stopped. A journal row that has not reached its final state by then cannot lead to a second execution, but calls
    /// with its key get the verdict may-have-run.
    boost::asio::awaitable<void> drain(SteadyTime deadline);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bulrushstack
