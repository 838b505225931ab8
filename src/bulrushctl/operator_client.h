#pragma once

#include "bulrushstack/config/configuration_store.h"
#include "bulrushstack/net/http_client.h"

namespace bulrushstack {

/// HTTP status and JSON body of a response of the operator API.
struct OperatorResponse {
    unsigned status = 0;
    nlohmann::json body;
};

struct OperatorClientOptions {
    Address address;
    std::string token;
    int maxAttempts = 4; ///< how often a change is sent while its outcome is unknown
    std::chrono::milliseconds initialRetryDelay {
        200
    }; ///< delay before the first retry; doubles with each further one
    std::chrono::seconds callTimeout { 15 }; ///< timeout of one call; the API may take up to 10 s for a change
};

/// Client of the operator API of one instance. A failure means that no usable response arrived; HTTP error statuses are
/// returned as responses. The I/O context and the clock must outlive the client.
class OperatorClient {
public:
    OperatorClient(boost::asio::io_context& context, const Clock& clock, OperatorClientOptions options);

    /// Sends a GET request for the target, which is a path with an optional query.
    boost::asio::awaitable<Result<OperatorResponse>> get(std::string target);

    /// Sends a change. While its outcome is unknown, looks up the change id and resends the change with the same id, up
    /// to OperatorClientOptions::maxAttempts times. The verdict of a failure, and the field "verdict" of an error
    /// response, say whether the change may have been executed.
    boost::asio::awaitable<Result<OperatorResponse>> sendChange(ConfigurationChange change);

    /// Polls until the instance and all its live peers report at least the revision, on the basis of an instance list
    /// that was read after this call. Returns descriptions of what still lags when the timeout expires; empty on
    /// success.
    boost::asio::awaitable<std::vector<std::string>> waitForRevision(
        std::uint64_t revision, std::chrono::nanoseconds timeout);

private:
    boost::asio::awaitable<Result<OperatorResponse>> call(HttpRequest request);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    OperatorClientOptions m_options;
    HttpClient m_client;
};

} // namespace bulrushstack
