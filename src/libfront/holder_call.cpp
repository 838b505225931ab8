#include "holder_call.h"

namespace bulrushstack {

boost::asio::awaitable<Result<std::string>> callHolder(
    HttpClient& client, const LeaseHolder& leaseHolder, std::string_view path, std::string message, SteadyTime deadline)
{
    const auto holder = leaseHolder.reachableHolder();
    if (!holder)
        co_return unavailableFailure("the lease holder does not respond");
    HttpRequest request { .method = "POST", .target = std::string(path), .body = std::move(message) };
    auto response = co_await client.call(*holder, std::move(request), { .deadline = deadline });
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return unavailableFailure("the lease holder responded with status " + std::to_string(response->status));
    co_return std::move(response->body);
}

} // namespace bulrushstack
