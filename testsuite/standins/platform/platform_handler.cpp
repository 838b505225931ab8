#include "platform_handler.h"

#include "transaction_json.h"

#include <algorithm>
#include <charconv>

namespace bulrushstack::standins {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

/// Maximum number of rows in one list response.
constexpr std::size_t maxPageRows = 1000;

HttpResponse errorResponse(unsigned status, std::string_view message)
{
    auto body = json::object();
    body["error"] = message;
    return jsonResponse(status, body.dump());
}

/// Splits a path into its percent-decoded segments. Returns an empty vector if a percent escape is malformed.
std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> out;
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        auto segment = percentDecode(path.substr(0, end));
        if (!segment)
            return {};
        out.push_back(std::move(*segment));
        path.remove_prefix(end);
    }
    return out;
}

/// Returns the fault point of a request, which also selects its handler. Returns an empty string for an unknown
/// request.
std::string faultPointOf(const HttpRequest& request)
{
    const auto path = splitPath(request.path());
    const auto first = path.empty() ? std::string() : path[0];
    const bool isGet = request.method == "GET";
    if (isGet && first == "tables" && (path.size() == 3 || path.size() == 4) && path[2] == "rows")
        return "table-read";
    if (request.method == "POST" && first == "transactions" && path.size() == 1)
        return "table-commit";
    if (isGet && first == "objects" && path.size() == 2)
        return "object-get";
    if (request.method == "PUT" && first == "objects" && path.size() == 2)
        return "object-put";
    if (isGet && first == "instances" && path.size() == 1)
        return "instances";
    if (isGet && first == "weights" && path.size() == 3)
        return "weights";
    return {};
}

std::string transactionSubject(const Transaction& transaction)
{
    std::string out;
    for (const auto& it : transaction.conditions)
        out += it.id.table + "/" + it.id.key + "\n";
    for (const auto& it : transaction.writes)
        out += it.id.table + "/" + it.id.key + "\n";
    return out;
}

std::string faultSubjectOf(const std::string& point, const HttpRequest& request)
{
    if (point == "table-commit") {
        const auto transaction = parseTransaction(request.body);
        return transaction ? transactionSubject(*transaction) : std::string();
    }
    const auto path = splitPath(request.path());
    if (point == "table-read")
        return path.size() == 4 ? path[1] + "/" + path[3] : request.target;
    return std::string(request.path());
}

/// Sends the header and the first `size` bytes of the body. The client detects an incomplete response when the
/// connection closes.
asio::awaitable<void> beginTruncatedResponse(HttpExchange& exchange, HttpResponse response, std::size_t size)
{
    const auto part = response.body.substr(0, size);
    auto headers = std::move(response.headers);
    auto ec = co_await exchange.beginStream(response.status, std::move(headers));
    if (!ec)
        co_await exchange.write(part);
}

/// Returns the maximum number of rows to list, at most maxPageRows. Returns an empty optional if the `limit` parameter
/// is not a number.
std::optional<std::size_t> parseLimit(std::string_view query)
{
    const auto text = queryParameter(query, "limit");
    if (!text)
        return maxPageRows;
    std::size_t limit = 0;
    const auto* end = text->data() + text->size();
    const auto [last, error] = std::from_chars(text->data(), end, limit);
    if (error != std::errc() || last != end)
        return std::nullopt;
    return std::min(limit, maxPageRows);
}

bool isPrintableName(const std::string& text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

asio::awaitable<void> PlatformHandler::handle(HttpExchange& exchange)
{
    auto request = exchange.request();
    const auto point = faultPointOf(request);
    auto response = errorResponse(503, "unavailable");
    response.headers.set("X-Not-Started", "1");
    if (point.empty()) {
        response = errorResponse(400, "unknown request");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    auto fault = m_state.standin.consumeFault(point, faultSubjectOf(point, request));
    const auto action = co_await applyDelayOrCrash(std::move(fault));
    if (action == FaultAction::Mute) {
        co_await waitForClientClose(exchange);
        co_return;
    }
    if (action != FaultAction::Refuse && action != FaultAction::Drop)
        response = co_await makeResponse(point, std::move(request));
    if (action == FaultAction::Drop || action == FaultAction::LoseAnswer) {
        HttpResponse lost;
        co_await beginTruncatedResponse(exchange, std::move(lost), 0);
    } else if (action == FaultAction::Cut) {
        const auto half = response.body.size() / 2;
        co_await beginTruncatedResponse(exchange, std::move(response), half);
    } else {
        co_await exchange.respond(std::move(response));
    }
}

asio::awaitable<HttpResponse> PlatformHandler::makeResponse(std::string point, HttpRequest request)
{
    const auto path = splitPath(request.path());
    if (point == "table-read")
        co_return path.size() == 4 ? readRow(request) : listRows(request);
    if (point == "table-commit")
        co_return commit(request);
    if (point == "object-get")
        co_return co_await getObject(path[1]);
    if (point == "object-put")
        co_return co_await putObject(path[1], std::move(request.body));
    if (point == "weights")
        co_return co_await loadWeights(std::move(request));
    co_return jsonResponse(200, m_state.instances.delayedList().dump());
}

HttpResponse PlatformHandler::readRow(const HttpRequest& request) const
{
    const auto path = splitPath(request.path());
    const auto row = m_state.tables.find({ .table = path[1], .key = path[3] });
    return row ? jsonResponse(200, toJson(*row).dump()) : errorResponse(404, "no such row");
}

HttpResponse PlatformHandler::listRows(const HttpRequest& request) const
{
    const auto limit = parseLimit(request.query());
    if (!limit)
        return errorResponse(400, "limit must be a number");
    const auto table = splitPath(request.path())[1];
    const auto prefix = queryParameter(request.query(), "prefix").value_or("");
    const auto after = queryParameter(request.query(), "after").value_or("");
    auto rows = json::array();
    for (const auto& it : m_state.tables.range(table, prefix, after, *limit))
        rows.push_back(toJson(it));
    auto body = json::object();
    body["rows"] = std::move(rows);
    return jsonResponse(200, body.dump());
}

HttpResponse PlatformHandler::commit(const HttpRequest& request)
{
    const auto transaction = parseTransaction(request.body);
    if (!transaction)
        return errorResponse(400, "malformed transaction");
    auto body = json::object();
    const auto conflicts = m_state.tables.conflicts(*transaction);
    if (!conflicts.empty()) {
        body["conflicts"] = toJson(conflicts);
        return jsonResponse(409, body.dump());
    }
    body["version"] = m_state.tables.apply(*transaction).value();
    auto entry = json::object();
    entry["event"] = "transaction";
    entry["version"] = body["version"];
    entry["conditions"] = toJson(transaction->conditions);
    entry["writes"] = toJson(transaction->writes);
    m_state.standin.log(std::move(entry));
    return jsonResponse(200, body.dump());
}

asio::awaitable<HttpResponse> PlatformHandler::getObject(std::string digest)
{
    auto content = co_await m_state.objects.get(digest, SteadyTime::max());
    if (!content || !*content)
        co_return errorResponse(404, "no such object");
    auto entry = json::object();
    entry["event"] = "object-get";
    entry["digest"] = digest;
    m_state.standin.log(std::move(entry));
    HttpResponse response;
    response.headers.set("Content-Type", "application/octet-stream");
    response.body = std::move(**content);
    co_return response;
}

asio::awaitable<HttpResponse> PlatformHandler::putObject(std::string digest, std::string content)
{
    if (sha256Hex(content) != digest)
        co_return errorResponse(400, "the content does not match the digest");
    auto entry = json::object();
    entry["event"] = "object-put";
    entry["digest"] = digest;
    entry["bytes"] = content.size();
    auto stored = co_await m_state.objects.put(std::move(content), SteadyTime::max());
    if (!stored)
        co_return errorResponse(503, "unavailable");
    m_state.standin.log(std::move(entry));
    co_return jsonResponse(200, "{}");
}

asio::awaitable<HttpResponse> PlatformHandler::loadWeights(HttpRequest request)
{
    const auto path = splitPath(request.path());
    if (!isPrintableName(path[1]) || !isPrintableName(path[2]))
        co_return errorResponse(400, "model and version must be printable");
    co_await m_state.weights.load();
    auto body = json::object();
    body["model"] = path[1];
    body["version"] = path[2];
    auto entry = body;
    entry["event"] = "weights";
    m_state.standin.log(std::move(entry));
    co_return jsonResponse(200, body.dump());
}

HttpResponse PlatformFaultPort::handleControl(const HttpRequest& request)
{
    const auto path = splitPath(request.path());
    if (path.empty() || path.size() > 2 || path[0] != "instances")
        return errorResponse(404, "not found");
    if (path.size() == 1)
        return request.method == "GET" ? jsonResponse(200, m_state.instances.currentList().dump())
                                       : errorResponse(405, "method not allowed");
    if (!isPrintableName(path[1]))
        return errorResponse(400, "the id must be printable");
    if (request.method == "DELETE")
        return m_state.instances.remove(path[1]) ? jsonResponse(200, "{}") : errorResponse(404, "no such instance");
    if (request.method != "PUT")
        return errorResponse(405, "method not allowed");
    const auto error = m_state.instances.put(path[1], json::parse(request.body, nullptr, false));
    return error.empty() ? jsonResponse(200, "{}") : errorResponse(400, error);
}

} // namespace bulrushstack::standins
