#include "fault_response.h"

namespace bulrushstack::standins {

namespace asio = boost::asio;

HttpResponse notStartedResponse()
{
    auto out = jsonResponse(503, R"({"error":"refused"})");
    out.headers.set("X-Not-Started", "1");
    return out;
}

bool isRequestExecuted(std::optional<FaultAction> action)
{
    return !action || action == FaultAction::LoseAnswer || action == FaultAction::Cut;
}

asio::awaitable<void> respondWithFault(HttpExchange& exchange, std::optional<FaultAction> action, HttpResponse response)
{
    if (action == FaultAction::Mute) {
        co_await waitForClientClose(exchange);
        exchange.close();
        co_return;
    }
    if (action == FaultAction::Drop || action == FaultAction::LoseAnswer) {
        exchange.close();
        co_return;
    }
    if (action == FaultAction::Refuse)
        response = notStartedResponse();
    const auto id = exchange.request().headers.find("X-Request-Id");
    if (id && response.headers.count("X-Request-Id") == 0)
        response.headers.set("X-Request-Id", *id);
    if (action == FaultAction::Cut) {
        auto headers = response.headers;
        co_await exchange.beginStream(response.status, std::move(headers));
        co_await exchange.write(std::string_view(response.body).substr(0, response.body.size() / 2));
        exchange.close();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

} // namespace bulrushstack::standins
