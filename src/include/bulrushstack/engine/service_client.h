#pragma once

#include "bulrushstack/engine/engine_client.h"

namespace bulrushstack {

/// One call of a plain service.
struct ServiceCall {
    std::string attemptId; ///< echoed by the service
    HttpRequest request; ///< method, target, headers and body for the service
    std::string idempotencyKey; ///< empty for idempotent calls without a key

    friend bool operator==(const ServiceCall&, const ServiceCall&) = default;
};

/// What a service knows of an earlier call.
struct ServiceCallStatus {
    bool wasExecuted = false;
    HttpResponse response; ///< set if wasExecuted

    friend bool operator==(const ServiceCallStatus&, const ServiceCallStatus&) = default;
};

/// The protocol of plain services. One object serves all; the address names the upstream.
class ServiceClient {
public:
    virtual ~ServiceClient() = default;

    /// Sends the call once. Any status of the service is a success, but for its documented refusal (429 or 503 with
    /// X-Not-Started: 1), which is Errc::Refused with NotRun.
    virtual boost::asio::awaitable<Result<HttpResponse>> call(Address service, ServiceCall call, AttemptLimits limits)
        = 0;

    /// Asks what became of the call with the key. `statusPath` is the template of the service with {key}.
    virtual boost::asio::awaitable<Result<ServiceCallStatus>> status(
        Address service, std::string statusPath, std::string key, SteadyTime deadline)
        = 0;
};

} // namespace bulrushstack
