#include "bulrushstack/relay/relay_messages.h"

#include <nlohmann/json.hpp>

namespace bulrushstack {

namespace {

using nlohmann::json;

std::string dump(const json& document) { return document.dump(-1, ' ', false, json::error_handler_t::replace); }

Failure malformed(const json::exception& error)
{
    return { .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = error.what() };
}

json encodeRow(const Row& row)
{
    json out { { "key", row.id.key }, { "version", row.version } };
    if (row.version > 0)
        out["value"] = row.value;
    return out;
}

Row decodeRow(const json& document, const std::string& table)
{
    Row out { .id = { .table = table, .key = document.at("key").get<std::string>() } };
    out.version = document.at("version").get<RowVersion>();
    if (out.version > 0)
        out.value = document.at("value");
    return out;
}

} // namespace

std::string encode(const RelayRequest& request)
{
    return dump({ { "table", request.table }, { "after", request.after }, { "snapshot", request.isSnapshot },
        { "wait_ms", request.wait.count() } });
}

std::string encode(const RelayReply& reply)
{
    auto rows = json::array();
    for (const auto& row : reply.rows)
        rows.push_back(encodeRow(row));
    return dump({ { "version", reply.version }, { "age_ms", reply.age.count() },
        { "after_outage", reply.isAfterOutage }, { "rows", std::move(rows) } });
}

Result<RelayRequest> decodeRelayRequest(std::string_view text)
{
    try {
        const auto document = json::parse(text);
        return RelayRequest { .table = document.at("table").get<std::string>(),
            .after = document.at("after").get<RowVersion>(),
            .isSnapshot = document.at("snapshot").get<bool>(),
            .wait = std::chrono::milliseconds(document.at("wait_ms").get<std::uint32_t>()) };
    } catch (const json::exception& error) {
        return malformed(error);
    }
}

Result<RelayReply> decodeRelayReply(std::string_view text, const std::string& table)
{
    try {
        const auto document = json::parse(text);
        RelayReply out { .version = document.at("version").get<RowVersion>(),
            .age = std::chrono::milliseconds(document.at("age_ms").get<std::uint32_t>()),
            .isAfterOutage = document.at("after_outage").get<bool>() };
        for (const auto& row : document.at("rows"))
            out.rows.push_back(decodeRow(row, table));
        return out;
    } catch (const json::exception& error) {
        return malformed(error);
    }
}

} // namespace bulrushstack
