#pragma once

#include "bulrushstack/execution/admission.h"
#include "bulrushstack/execution/model_requests.h"
#include "bulrushstack/execution/service_calls.h"
#include "caller_metrics.h"

#include <functional>

namespace bulrushstack::detail {

/// Dependencies of CallerApi. All referenced objects must outlive it.
struct CallerApiDependencies {
    const Clock& clock;
    prometheus::Registry& metrics;
    ModelRequestExecutor& models;
    std::function<boost::asio::awaitable<ServiceOutcome>(RequestContext, ServiceRequest)> callService;
    std::function<ConfigurationPtr()> configuration; ///< returns the current revision
    std::function<std::vector<std::string>()> unmetConditions; ///< returns the readiness conditions that are not met
    BodyLimits bodyLimits;
};

/// The HTTP API for callers: validates each request, passes it to its executor, and records it in metrics and log.
class CallerApi final : public HttpHandler {
public:
    explicit CallerApi(CallerApiDependencies dependencies);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse protocolError(unsigned status, std::string_view detail) override;

    /// Makes all later requests except /livez and /readyz fail with the problem "shutting-down".
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

/// Returns the JSON body of GET /v1/models: the models and adapters that the team may use, sorted by id.
std::string modelListJson(const RequestContext& context);

} // namespace bulrushstack::detail
