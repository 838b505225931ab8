#pragma once

#include "standin.h"

namespace bulrushstack::standins {

struct ServiceOptions {
    std::string name;
    bool checksFencing = false; ///< reject requests with a lower X-Fencing than one seen before
};

/// A plain service that stores what it is sent. It does not deduplicate: each request that arrives is executed and
/// logged, so that a repetition is visible.
class ServiceHandler final : public HttpHandler {
public:
    ServiceHandler(ServiceOptions options, StandinState& state);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    HttpResponse read(const HttpRequest& request) const;
    HttpResponse readStatus(std::string_view key) const;
    HttpResponse execute(const HttpRequest& request);
    HttpResponse makeResponse(const HttpRequest& request);

    /// Returns whether the request carries a number below the highest one seen; remembers a higher one.
    bool hasStaleFencingNumber(const HttpRequest& request);

    struct Outcome {
        unsigned status = 0;
        nlohmann::json body;
    };

    ServiceOptions m_options;
    StandinState& m_state;
    std::map<std::string, std::string, std::less<>> m_documents; ///< by path
    std::map<std::string, Outcome, std::less<>> m_outcomes; ///< by idempotency key, the first one
    std::uint64_t m_executed = 0;
    std::uint64_t m_highestFencingNumber = 0;
};

} // namespace bulrushstack::standins
