#pragma once

#include "instance_registry.h"
#include "memory_platform.h"
#include "standin.h"
#include "weight_store.h"

namespace bulrushstack::standins {

struct PlatformOptions {
    std::chrono::nanoseconds listLag {};
    WeightStoreOptions weights;
};

/// The state of the platform: rows, objects, instances and weight loads.
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

/// Table service, object store, instance list and weight store on one listener.
///
/// Fault points, each with the subject that `match` is compared with: table-read (TABLE/KEY of a row, the target of a
/// list), table-commit (TABLE/KEY of all conditions and writes, one a line), object-get, object-put, instances and
/// weights (the path). Refuse, drop and mute have no effect on the state; lose-answer and cut do the work first. Drop
/// and lose-answer close the connection after a header without a body, since HttpExchange offers no earlier point.
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

/// Fault port of the platform, with PUT, DELETE and GET of the instances as its scheduler sees them.
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
