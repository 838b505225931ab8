#include "bulrushstack/platform/http_platform.h"

#include "bulrushstack/platform/bounded_json.h"
#include "platform_call.h"
#include "platform_json.h"

#include <algorithm>

namespace bulrushstack {

using namespace detail;
namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

/// Maximum number of rows that list() reads in one request. With rows of a few KB, the response stays far below the
/// size limit of the HTTP client.
constexpr std::size_t pageSize = 256;

std::optional<Row> parseRow(json value, const std::string& table)
{
    auto key = stringMember(value, "key");
    const auto version = unsignedMember(value, "version");
    if (!key || !version || *version == 0 || !value.contains("value"))
        return std::nullopt;
    Row row;
    row.id = { .table = table, .key = std::move(*key) };
    row.version = *version;
    row.value = std::move(value["value"]);
    return row;
}

/// Parses one page of rows. Returns an empty optional if a row is outside the requested range or out of order. The
/// strict key order also ensures that paging ends.
std::optional<std::vector<Row>> parsePage(
    json value, const std::string& table, const std::string& prefix, std::string after, std::size_t limit)
{
    const auto* rows = findMember(value, "rows");
    if (!rows || !rows->is_array() || rows->size() > limit)
        return std::nullopt;
    std::vector<Row> out;
    out.reserve(rows->size());
    bool hasPrevious = !after.empty();
    for (auto& it : value["rows"]) {
        auto row = parseRow(std::move(it), table);
        if (!row || !row->id.key.starts_with(prefix) || (hasPrevious && row->id.key <= after))
            return std::nullopt;
        after = row->id.key;
        hasPrevious = true;
        out.push_back(std::move(*row));
    }
    return out;
}

/// Returns the body of POST /transactions; an empty optional if a string is not UTF-8, which JSON cannot represent.
std::optional<std::string> formatTransaction(const Transaction& transaction)
{
    auto conditions = json::array();
    for (const auto& [id, version] : transaction.conditions)
        conditions.push_back(json::object({ { "table", id.table }, { "key", id.key }, { "version", version } }));
    auto writes = json::array();
    for (const auto& [id, value] : transaction.writes) {
        auto write = json::object({ { "table", id.table }, { "key", id.key } });
        if (value)
            write["value"] = *value;
        else
            write["delete"] = true;
        writes.push_back(std::move(write));
    }
    auto body = json::object();
    body["conditions"] = std::move(conditions);
    body["writes"] = std::move(writes);
    try {
        return body.dump();
    } catch (const json::type_error&) {
        return std::nullopt;
    }
}

std::string describeConflicts(const std::string& body)
{
    std::string out = "a condition does not hold";
    const auto document = parseBoundedJson(body);
    const auto* conflicts = findMember(document, "conflicts");
    if (!conflicts || !conflicts->is_array())
        return out;
    for (const auto& it : *conflicts) {
        const auto table = stringMember(it, "table");
        const auto key = stringMember(it, "key");
        const auto version = unsignedMember(it, "version");
        if (table && key && version)
            out += "; " + *table + "/" + *key + " has version " + std::to_string(*version);
    }
    return out;
}

Failure commitFailure(const HttpResponse& response)
{
    if (response.status == 409)
        return { .code = Errc::Conflict, .verdict = Verdict::NotRun, .detail = describeConflicts(response.body) };
    if (response.status == 400)
        return { .code = Errc::InvalidArgument,
            .verdict = Verdict::NotRun,
            .detail = "the table service rejected the transaction as invalid" };
    return unexpectedStatus(response, "commit");
}

} // namespace

HttpTableService::HttpTableService(HttpClient& client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

asio::awaitable<Result<std::optional<Row>>> HttpTableService::read(RowId id, SteadyTime deadline)
{
    HttpRequest request;
    request.target = "/tables/" + percentEncode(id.table) + "/rows/" + percentEncode(id.key);
    auto response
        = co_await callPlatform(m_client, m_address, std::move(request), deadline, RetryMode::OnNewConnection);
    if (!response)
        co_return response.error();
    if (response->status == 404)
        co_return std::optional<Row>();
    if (response->status != 200)
        co_return unexpectedStatus(*response, "row read");
    auto row = parseRow(parseBoundedJson(response->body), id.table);
    if (!row || row->id != id)
        co_return malformedResponse("row read", Verdict::MayHaveRun);
    co_return row;
}

asio::awaitable<Result<std::vector<Row>>> HttpTableService::list(
    std::string table, std::string prefix, std::string after, std::size_t limit, SteadyTime deadline)
{
    std::vector<Row> out;
    while (out.size() < limit) {
        const auto count = std::min(limit - out.size(), pageSize);
        HttpRequest request;
        request.target = "/tables/" + percentEncode(table) + "/rows?prefix=" + percentEncode(prefix)
            + "&after=" + percentEncode(after) + "&limit=" + std::to_string(count);
        auto response
            = co_await callPlatform(m_client, m_address, std::move(request), deadline, RetryMode::OnNewConnection);
        if (!response)
            co_return response.error();
        if (response->status != 200)
            co_return unexpectedStatus(*response, "row list");
        auto page = parsePage(parseBoundedJson(response->body), table, prefix, after, count);
        if (!page)
            co_return malformedResponse("row list", Verdict::MayHaveRun);
        const bool isLast = page->size() < count;
        std::move(page->begin(), page->end(), std::back_inserter(out));
        if (isLast)
            break;
        after = out.back().id.key;
    }
    co_return out;
}

asio::awaitable<Result<RowVersion>> HttpTableService::commit(Transaction transaction, SteadyTime deadline)
{
    auto body = formatTransaction(transaction);
    if (!body)
        co_return Failure { .code = Errc::InvalidArgument,
            .verdict = Verdict::NotRun,
            .detail = "the transaction contains text that is not UTF-8" };
    HttpRequest request;
    request.method = "POST";
    request.target = "/transactions";
    request.headers.set("Content-Type", "application/json");
    request.body = std::move(*body);
    auto response = co_await callPlatform(m_client, m_address, std::move(request), deadline, RetryMode::Never);
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return commitFailure(*response);
    const auto version = unsignedMember(parseBoundedJson(response->body), "version");
    if (!version || *version == 0)
        co_return malformedResponse("commit", Verdict::MayHaveRun);
    co_return *version;
}

} // namespace bulrushstack
