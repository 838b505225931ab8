#pragma once

#include "instance_registry.h"
#include "memory_platform.h"
#include "standin.h"
#include "weight_store.h"

namespace bulrushstack::standins {

struct PlatformOptions {
    std::chrono::nanoseconds listLag {}; ///< delay of changes in the public instance list
    WeightStoreOptions weights;
};

/// State of the stand-in platform: table rows, objects, instances, weight loads, and the execution log with the faults.
struct PlatformState {
    PlatformState(const Clock& clock, const PlatformOptions& options)
        : instances(clock, options.listLag)
        , weights(clock, options.weights)
    {
    }

    StandinState standin;
    MemoryTableService tables;
    MemoryObjectStore objects;
    InstanceRegistry instances;
    WeightStore weights;
};

/// HTTP handler that serves the table service, object store, instance list and weight store on one address.
///
/// The fault points, with the subject that Fault::match is searched in: table-read (TABLE/KEY for a single row, the
/// request target for a list), table-commit (TABLE/KEY of all conditions and writes, one per line), object-get,
/// object-put, instances and weights (the request path). Refuse, drop and mute skip execution and leave the state
/// unchanged; lose-answer and cut execute the request first. For drop and lose-answer, the handler begins a response
/// and returns, so that the server closes the connection after a header without a body.
class PlatformHandler final : public HttpHandler {
public:
    explicit PlatformHandler(PlatformState& state)
        : m_state(state)
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    boost::asio::awaitable<HttpResponse> makeResponse(std::string point, HttpRequest request);
    HttpResponse readRow(const HttpRequest& request) const;
    HttpResponse listRows(const HttpRequest& request) const;
    HttpResponse commit(const HttpRequest& request);
    boost::asio::awaitable<HttpResponse> getObject(std::string digest);
    boost::asio::awaitable<HttpResponse> putObject(std::string digest, std::string content);
    boost::asio::awaitable<HttpResponse> loadWeights(HttpRequest request);

    PlatformState& m_state;
};

/// Control port of the platform. Adds GET /instances, which lists the instances without the lag, and PUT and DELETE of
/// /instances/ID, which change the registry as the platform's scheduler would.
class PlatformFaultPort final : public FaultPort {
public:
    explicit PlatformFaultPort(PlatformState& state)
        : FaultPort(state.standin)
        , m_state(state)
    {
    }

protected:
    HttpResponse handleControl(const HttpRequest& request) override;

private:
    PlatformState& m_state;
};

} // namespace bulrushstack::standins
