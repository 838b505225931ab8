#pragma once

#include "bulrushstack/execution/problem.h"
#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/net/http_server.h"
#include "operator_backend.h"

namespace bulrushstack {

/// HTTP handler of the operator API, which is specified in section 11 of the design document. All paths except /metrics
/// require the bearer token of the operators.
class OperatorApi final : public HttpHandler {
public:
    OperatorApi(RuntimeService& runtime, OperatorBackend& backend, std::string_view token);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse protocolError(unsigned status, std::string_view detail) override;

private:
    /// An HTTP request and the id that identifies it in log lines and error responses.
    struct Call {
        const HttpRequest& request;
        std::string requestId;
    };

    /// Checks the authorization and calls the method that handles the path.
    boost::asio::awaitable<HttpResponse> dispatch(Call call);

    boost::asio::awaitable<HttpResponse> getChange(Call call);
    boost::asio::awaitable<HttpResponse> postChange(Call call);
    boost::asio::awaitable<HttpResponse> getHistory(Call call);
    boost::asio::awaitable<void> activateAcceptedChange();
    HttpResponse changeResponse(const Call& call, const ConfigurationChange& change, ChangeOutcome outcome) const;
    HttpResponse getMetrics();

    /// Returns an error response if the bearer token is missing or wrong.
    std::optional<HttpResponse> checkAuthorization(const Call& call) const;

    RuntimeService& m_runtime;
    OperatorBackend& m_backend;
    std::string m_tokenDigest;
};

} // namespace bulrushstack
