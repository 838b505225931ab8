#pragma once

#include "bulrushstack/net/http_client.h"
#include "lease_holder.h"

#include <string>
#include <string_view>

namespace bulrushstack {

/// Sends a message to the instance that holds the placement lease, and returns the body of its reply. Fails if no such
/// instance has replied recently, or if its response has another status than 200.
boost::asio::awaitable<Result<std::string>> callHolder(HttpClient& client, const LeaseHolder& leaseHolder,
    std::string_view path, std::string message, SteadyTime deadline);

} // namespace bulrushstack
