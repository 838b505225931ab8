#pragma once

#include "bulrushstack/execution/problem.h"
#include "bulrushstack/kernel/runtime.h"
#include "bulrushstack/net/http_server.h"
#include "operator_backend.h"

namespace bulrushstack {

/// Answers the requests of section 11 of the design page.
class OperatorApi final : public HttpHandler {
public:
    OperatorApi(RuntimeService& runtime, OperatorBackend& backend, std::string_view token);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse protocolError(unsigned status, std::string_view detail) override;

private:
    struct Call {
        const HttpRequest& request;
        std::string requestId;
    };

    boost::asio::awaitable<HttpResponse> dispatch(Call call);
    boost::asio::awaitable<HttpResponse> getChange(Call call);
    boost::asio::awaitable<HttpResponse> postChange(Call call);
    boost::asio::awaitable<HttpResponse> getHistory(Call call);
    boost::asio::awaitable<void> activateAcceptedChange();
    HttpResponse changeResponse(const Call& call, const ConfigurationChange& change, ChangeOutcome outcome) const;
    HttpResponse getMetrics();
    std::optional<HttpResponse> checkAuthorization(const Call& call) const;

    RuntimeService& m_runtime;
    OperatorBackend& m_backend;
    std::string m_tokenDigest;
};

} // namespace bulrushstack
