#pragma once

#include "bulrushstack/config/configuration_store.h"
#include "bulrushstack/net/http_client.h"

namespace bulrushstack {

/// An answer of the operator API.
struct OperatorResponse {
    unsigned status = 0;
    nlohmann::json body;
};

struct OperatorClientOptions {
    Address address;
    std::string token;
    int maxAttempts = 4; ///< of a change without a certain outcome
    std::chrono::milliseconds initialRetryDelay { 200 }; ///< between attempts; doubled each time
    std::chrono::seconds callTimeout { 15 }; ///< of one call; the API takes up to 10 s for a change
};

/// Client of the operator API. Failures mean that the instance gave no usable answer.
class OperatorClient {
public:
    OperatorClient(boost::asio::io_context& context, const Clock& clock, OperatorClientOptions options);

    boost::asio::awaitable<Result<OperatorResponse>> get(std::string target);

    /// Sends a change. If the outcome is not certain, reads the change id back and sends the change again under the
    /// same id. The verdict of a failure, and the field "verdict" of an answer, say whether the change may have run.
    boost::asio::awaitable<Result<OperatorResponse>> sendChange(ConfigurationChange change);

    /// Waits until the instance and all its live peers report the revision; returns those that do not by the deadline.
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
