#pragma once

#include "bulrushstack/execution/service_calls.h"
#include "bulrushstack/kernel/run_awaitable.h"

#include <memory>
#include <string>
#include <vector>

namespace bulrushstack {

/// Returns a configuration with the teams "zagreb" and "split" and the services "shop", which has a status endpoint,
/// and "board", which has none.
inline ConfigurationPtr serviceCallConfiguration()
{
    static const auto configuration = Configuration::parse(nlohmann::json::parse(R"({
        "schema": 1, "revision": 1, "models": {},
        "services": { "shop": { "status_path": "/status/{key}" }, "board": {} },
        "templates": { "house": { "parameters": {}, "models": [], "services": ["shop", "board"],
            "urgency": { "default": "interactive", "permitted": ["interactive"] },
            "deadline": { "default": "10s", "max": "60s" } } },
        "teams": {
            "zagreb": { "template": "house", "parameters": {},
                "token_sha256": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"] },
            "split": { "template": "house", "parameters": {},
                "token_sha256": ["bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"] } }
    })"))
                                          .configuration;
    return configuration;
}

/// Returns the context of a request whose deadline is `limit` from now.
inline RequestContext serviceCallContext(
    const Clock& clock, std::chrono::nanoseconds limit, std::string_view team = "zagreb")
{
    const auto configuration = serviceCallConfiguration();
    return { .requestId = "r1",
        .configuration = configuration,
        .team = configuration->team(team),
        .deadline = clock.now() + limit };
}

inline ServiceRequest serviceRequest(
    std::string service, std::string method, std::string key, std::string body = "order")
{
    ServiceRequest out { .service = std::move(service), .request = {}, .idempotencyKey = std::move(key) };
    out.request.method = std::move(method);
    out.request.target = "/orders";
    out.request.body = std::move(body);
    return out;
}

/// Returns the instance list: two upstreams for each service.
inline std::vector<InstanceRecord> serviceRoster()
{
    std::vector<InstanceRecord> out;
    for (std::string service : { "board", "shop" }) {
        for (std::uint16_t n : { 1, 2 }) {
            out.push_back({ .id = service + std::to_string(n),
                .role = InstanceRole::Service,
                .service = service,
                .address = { .host = "127.0.0.1", .port = n },
                .zone = "quay-a" });
        }
    }
    return out;
}

/// Returns options with all delays set to zero, so that tests do not depend on real time.
inline ServiceCallOptions optionsWithoutWaits()
{
    ServiceCallOptions out;
    out.retryBackoff = {};
    out.writerPollInterval = {};
    out.journalRetryInterval = {};
    out.sweepInterval = {};
    return out;
}

} // namespace bulrushstack
