#include "bulrushstack/kernel/ids.h"
#include "bulrushstack/platform/http_platform.h"

#include "platform_call.h"

namespace bulrushstack {

using namespace detail;
namespace asio = boost::asio;

HttpObjectStore::HttpObjectStore(HttpClient& client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

asio::awaitable<Result<std::string>> HttpObjectStore::put(std::string content, SteadyTime deadline)
{
    auto digest = sha256Hex(content);
    HttpRequest request;
    request.method = "PUT";
    request.target = "/objects/" + digest;
    request.headers.set("Content-Type", "application/octet-stream");
    request.body = std::move(content);
    auto response
        = co_await callPlatform(m_client, m_address, std::move(request), deadline, RetryMode::OnNewConnection);
    if (!response)
        co_return response.error();
    if (response->status == 413)
        co_return Failure { .code = Errc::TooLarge,
            .verdict = Verdict::NotRun,
            .detail = "the object store rejected the object because of its size" };
    if (response->status / 100 != 2)
        co_return unexpectedStatus(*response, "object put");
    co_return digest;
}

asio::awaitable<Result<std::optional<std::string>>> HttpObjectStore::get(std::string digest, SteadyTime deadline)
{
    HttpRequest request;
    request.target = "/objects/" + percentEncode(digest);
    auto response
        = co_await callPlatform(m_client, m_address, std::move(request), deadline, RetryMode::OnNewConnection);
    if (!response)
        co_return response.error();
    if (response->status == 404)
        co_return std::optional<std::string>();
    if (response->status != 200)
        co_return unexpectedStatus(*response, "object get");
    if (sha256Hex(response->body) != digest)
        co_return Failure { .code = Errc::Malformed,
            .verdict = Verdict::MayHaveRun,
            .detail = "the content of object " + digest + " does not match its digest" };
    co_return std::optional(std::move(response->body));
}

} // namespace bulrushstack
