#pragma once

#include "bulrushstack/execution/admission.h"
#include "bulrushstack/execution/model_requests.h"
#include "bulrushstack/execution/service_calls.h"
#include "caller_metrics.h"

#include <functional>

namespace bulrushstack::detail {

/// What the API works with; all references outlive it.
struct CallerApiDependencies {
    const Clock& clock;
    prometheus::Registry& metrics;
    ModelRequestExecutor& models;
    std::function<boost::asio::awaitable<ServiceOutcome>(RequestContext, ServiceRequest)> callService;
    std::function<ConfigurationPtr()> configuration; ///< the revision in force
    std::function<std::vector<std::string>()> unmetConditions; ///< of readiness
    BodyLimits bodyLimits;
};

/// The calls of section "Caller API": admits each request, hands it to its executor, counts and logs it.
class CallerApi final : public HttpHandler {
public:
    explicit CallerApi(CallerApiDependencies dependencies);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse protocolError(unsigned status, std::string_view detail) override;

    /// Refuses requests from now on, except for /livez and /readyz.
    void beginShutdown() { m_isShuttingDown = true; }

private:
    enum class Route;

    static Route routeOf(std::string_view path);
    boost::asio::awaitable<void> dispatchCatchingExceptions(HttpExchange& exchange, RequestRecord& record, Route route);
    boost::asio::awaitable<void> dispatch(HttpExchange& exchange, RequestRecord& record, Route route);
    boost::asio::awaitable<void> runModelRequest(HttpExchange& exchange, RequestRecord& record, RequestContext context);
    boost::asio::awaitable<void> runServiceCall(HttpExchange& exchange, RequestRecord& record, RequestContext context);
    boost::asio::awaitable<void> respond(HttpExchange& exchange, RequestRecord& record, HttpResponse response);
    boost::asio::awaitable<void> sendProblem(HttpExchange& exchange, RequestRecord& record, Problem problem);
    HttpResponse healthResponse(Route route) const;

    CallerApiDependencies m_dependencies;
    CallerMetrics m_metrics;
    bool m_isShuttingDown = false;
};

/// Returns the answer of GET /v1/models: what the team may use, sorted by id.
std::string modelListJson(const RequestContext& context);

} // namespace bulrushstack::detail
