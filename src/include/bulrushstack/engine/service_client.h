#pragma once

#include "bulrushstack/engine/engine_client.h"

namespace bulrushstack {

/// A call to an upstream HTTP service that is not an inference engine.
struct ServiceCall {
    std::string attemptId; ///< id of this attempt, sent as X-Request-Id; the service repeats it in its response
    HttpRequest request; ///< method, target, headers and body to forward
    std::string idempotencyKey; ///< sent as Idempotency-Key; empty for idempotent calls without a key

    friend bool operator==(const ServiceCall&, const ServiceCall&) = default;
};

/// The outcome of an earlier call according to the service.
struct ServiceCallStatus {
    bool wasExecuted = false;
    HttpResponse response; ///< response of the earlier call; set if `wasExecuted`

    friend bool operator==(const ServiceCallStatus&, const ServiceCallStatus&) = default;
};

/// Client for upstream HTTP services. One object serves all services; the address parameter selects the upstream.
class ServiceClient {
public:
    virtual ~ServiceClient() = default;

    /// Sends the call once. Every HTTP status counts as success except a refusal: 429 or 503 with X-Not-Started: 1, by
    /// which the service states that it did not start the call. A refusal is Errc::Refused with NotRun.
    virtual boost::asio::awaitable<Result<HttpResponse>> call(Address service, ServiceCall call, AttemptLimits limits)
        = 0;

    /// Asks the service for the outcome of the call with the given idempotency key. `statusPath` is the path of the
    /// status endpoint, in which {key} is replaced by the key. Every failure has the verdict MayHaveRun, since it does
    /// not show that the call was not executed.
    virtual boost::asio::awaitable<Result<ServiceCallStatus>> status(
        Address service, std::string statusPath, std::string key, SteadyTime deadline)
        = 0;
};

} // namespace bulrushstack
