#pragma once

#include "bulrushstack/engine/engine_client.h"
#include "bulrushstack/engine/service_client.h"
#include "bulrushstack/net/http_client.h"

namespace bulrushstack {

/// Client for inference engines with an OpenAI-compatible HTTP API that streams tokens as server-sent events.
class HttpEngineClient final : public EngineClient {
public:
    explicit HttpEngineClient(HttpClient& client);

    boost::asio::awaitable<Result<HttpResponse>> complete(
        Address engine, EngineRequest request, AttemptLimits limits) override;
    boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> openStream(
        Address engine, EngineRequest request, AttemptLimits limits) override;
    boost::asio::awaitable<Result<std::unique_ptr<EngineStream>>> resumeStream(Address engine, std::string attemptId,
        std::string cacheSalt, std::optional<std::uint64_t> lastOffset, AttemptLimits limits) override;
    boost::asio::awaitable<Result<void>> cancel(
        Address engine, std::string attemptId, std::string cacheSalt, SteadyTime deadline) override;
    boost::asio::awaitable<Result<LoadReport>> loadReport(Address engine, SteadyTime deadline) override;
    boost::asio::awaitable<Result<void>> order(Address engine, EngineOrder order, SteadyTime deadline) override;

private:
    HttpClient& m_client;
};

/// Client for HTTP services that are not inference engines.
class HttpServiceClient final : public ServiceClient {
public:
    explicit HttpServiceClient(HttpClient& client);

    boost::asio::awaitable<Result<HttpResponse>> call(Address service, ServiceCall call, AttemptLimits limits) override;
    boost::asio::awaitable<Result<ServiceCallStatus>> status(
        Address service, std::string statusPath, std::string key, SteadyTime deadline) override;

private:
    HttpClient& m_client;
};

} // namespace bulrushstack
