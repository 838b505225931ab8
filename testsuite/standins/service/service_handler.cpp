#include "service_handler.h"

#include "bulrushstack/kernel/ids.h"
#include "fault_response.h"

#include <algorithm>
#include <charconv>

namespace bulrushstack::standins {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

constexpr std::string_view statusPath = "/status/";

bool isModifyingRequest(const HttpRequest& request)
{
    return request.method == "POST" || request.method == "PUT" || request.method == "PATCH"
        || request.method == "DELETE";
}

} // namespace

ServiceHandler::ServiceHandler(ServiceOptions options, StandinState& state)
    : m_options(std::move(options))
    , m_state(state)
{
}

asio::awaitable<void> ServiceHandler::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = request.path();
    auto fault = m_state.consumeFault("accept", path);
    auto action = co_await applyDelayOrCrash(std::move(fault));
    if (!action && isModifyingRequest(request)) {
        fault = m_state.consumeFault("execute", path);
        action = co_await applyDelayOrCrash(std::move(fault));
    }
    HttpResponse response;
    const bool isExecuted = isRequestExecuted(action);
    if (isExecuted)
        response = makeResponse(request);
    if (!action) {
        fault = m_state.consumeFault("answer", path);
        action = co_await applyDelayOrCrash(std::move(fault));
    }
    if (action == FaultAction::Refuse && isExecuted) {
        // The request was executed, so the error response must not carry X-Not-Started.
        action = std::nullopt;
        response = jsonResponse(503, R"({"error":"interrupted"})");
    }
    co_await respondWithFault(exchange, action, std::move(response));
}

HttpResponse ServiceHandler::makeResponse(const HttpRequest& request)
{
    if (isModifyingRequest(request))
        return execute(request);
    if (request.method != "GET" && request.method != "HEAD")
        return jsonResponse(405, R"({"error":"method not allowed"})");
    return read(request);
}

HttpResponse ServiceHandler::read(const HttpRequest& request) const
{
    const auto path = request.path();
    if (path.starts_with(statusPath))
        return readStatus(path.substr(statusPath.size()));
    const auto it = m_documents.find(path);
    return it == m_documents.end() ? jsonResponse(404, R"({"error":"not found"})") : jsonResponse(200, it->second);
}

HttpResponse ServiceHandler::readStatus(std::string_view key) const
{
    const auto decoded = percentDecode(key);
    const auto it = decoded ? m_outcomes.find(*decoded) : m_outcomes.end();
    if (it == m_outcomes.end())
        return jsonResponse(404, R"({"executed":false})");
    const json body { { "executed", true }, { "status", it->second.status }, { "body", it->second.body } };
    return jsonResponse(200, body.dump());
}

HttpResponse ServiceHandler::execute(const HttpRequest& request)
{
    if (hasStaleFencingNumber(request))
        return jsonResponse(409, R"({"error":"stale fencing number"})");
    const std::string path(request.path());
    const auto key = request.headers.find("Idempotency-Key").value_or("");
    if (request.method == "DELETE")
        m_documents.erase(path);
    else
        m_documents[path] = request.body;
    m_state.log({ { "event", "execute" }, { "service", m_options.name }, { "method", request.method }, { "path", path },
        { "key", key }, { "attempt", request.headers.find("X-Request-Id").value_or("") },
        { "digest", sha256Hex(request.body) } });
    json body { { "executed", ++m_executed }, { "path", path } };
    const auto text = body.dump();
    if (!key.empty())
        m_outcomes.try_emplace(key, Outcome { .status = 201, .body = std::move(body) });
    return jsonResponse(201, text);
}

bool ServiceHandler::hasStaleFencingNumber(const HttpRequest& request)
{
    const auto text = request.headers.find("X-Fencing");
    if (!m_options.checksFencing || !text)
        return false;
    std::uint64_t number = 0;
    const auto* end = text->data() + text->size();
    const auto [rest, ec] = std::from_chars(text->data(), end, number);
    if (ec != std::errc() || rest != end || number < m_highestFencingNumber)
        return true;
    m_highestFencingNumber = number;
    return false;
}

} // namespace bulrushstack::standins
