#pragma once

#include "standin.h"

namespace bulrushstack::standins {

struct ServiceOptions {
    std::string name; ///< written to the execution log
    bool checksFencing = false; ///< reject requests whose X-Fencing is lower than an earlier one
};

/// Stand-in for a document service: stores request bodies by path. It does not deduplicate by idempotency key: every
/// modifying request is executed and logged, so that tests can detect duplicate execution.
class ServiceHandler final : public HttpHandler {
public:
    ServiceHandler(ServiceOptions options, StandinState& state);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    HttpResponse read(const HttpRequest& request) const;
    HttpResponse readStatus(std::string_view key) const;
    HttpResponse execute(const HttpRequest& request);
    HttpResponse makeResponse(const HttpRequest& request);

    /// Returns whether X-Fencing is malformed or lower than the highest number seen so far; records a higher number.
    /// Returns false if fencing is not checked or the header is absent.
    bool hasStaleFencingNumber(const HttpRequest& request);

    struct Outcome {
        unsigned status = 0;
        nlohmann::json body;
    };

    ServiceOptions m_options;
    StandinState& m_state;
    std::map<std::string, std::string, std::less<>> m_documents; ///< stored request bodies, by path
    std::map<std::string, Outcome, std::less<>> m_outcomes; ///< outcome of the first execution for each idempotency key
    std::uint64_t m_executed = 0; ///< number of executed modifying requests
    std::uint64_t m_highestFencingNumber = 0;
};

} // namespace bulrushstack::standins
