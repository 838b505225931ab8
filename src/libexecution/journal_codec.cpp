#include "journal.h"

#include "bulrushstack/kernel/base64.h"
#include "bulrushstack/kernel/ids.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>
#include <vector>

namespace bulrushstack {

namespace {

using nlohmann::json;

// Headers that may differ when the same request is sent again. They are not part of the request digest.
constexpr std::array<std::string_view, 11> transientHeaders { "connection", "content-length", "date", "host",
    "idempotency-key", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "x-request-id" };

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

bool isTransient(const std::string& name)
{
    return std::find(transientHeaders.begin(), transientHeaders.end(), name) != transientHeaders.end();
}

/// Appends a part with its length as prefix, so that different lists of parts never result in the same text.
void appendLengthPrefixed(std::string& out, std::string_view part)
{
    out += std::to_string(part.size());
    out += ':';
    out += part;
}

/// Serializes an outcome. Body and headers are stored in base64, because they may contain bytes that are not UTF-8.
json toJson(const JournalOutcome& outcome)
{
    json headers = json::array();
    for (const auto& [name, value] : outcome.response.headers)
        headers.push_back({ encodeBase64(name), encodeBase64(value) });
    json out {
        { "verdict", toString(outcome.verdict) },
        { "status", outcome.response.status },
        { "headers", std::move(headers) },
        { "body", encodeBase64(outcome.response.body) },
    };
    if (!outcome.bodyDigest.empty())
        out["body_sha256"] = outcome.bodyDigest;
    return out;
}

std::optional<JournalOutcome> parseOutcome(const json& value)
{
    JournalOutcome out;
    const auto verdict = parseVerdict(value.at("verdict").get<std::string>());
    const auto body = decodeBase64(value.at("body").get<std::string>());
    if (!verdict || !body)
        return std::nullopt;
    out.verdict = *verdict;
    out.response.status = value.at("status").get<unsigned>();
    out.response.body = *body;
    for (const auto& field : value.at("headers")) {
        auto name = decodeBase64(field.at(0).get<std::string>());
        auto text = decodeBase64(field.at(1).get<std::string>());
        if (!name || !text)
            return std::nullopt;
        out.response.headers.add(std::move(*name), std::move(*text));
    }
    out.bodyDigest = value.value("body_sha256", "");
    return out;
}

std::string_view toString(JournalState state)
{
    switch (state) {
    case JournalState::Recorded:
        return "recorded";
    case JournalState::Abandoned:
        return "abandoned";
    case JournalState::Finished:
        break;
    }
    return "finished";
}

std::optional<JournalState> parseJournalState(std::string_view text)
{
    for (auto state : { JournalState::Recorded, JournalState::Abandoned, JournalState::Finished }) {
        if (toString(state) == text)
            return state;
    }
    return std::nullopt;
}

/// Returns nothing if the time lies beyond the range of the clock.
std::optional<WallTime> parseTime(std::int64_t millisecondsSinceEpoch)
{
    static constexpr auto latest = std::chrono::floor<std::chrono::milliseconds>(WallTime::max()).time_since_epoch();
    static constexpr auto earliest = std::chrono::ceil<std::chrono::milliseconds>(WallTime::min()).time_since_epoch();
    const std::chrono::milliseconds time { millisecondsSinceEpoch };
    if (time < earliest || time > latest)
        return std::nullopt;
    return WallTime(time);
}

std::optional<JournalEntry> parseEntryFields(const json& value)
{
    JournalEntry out;
    const auto state = parseJournalState(value.at("state").get<std::string>());
    const auto time = parseTime(value.at("time_ms").get<std::int64_t>());
    if (!state || !time)
        return std::nullopt;
    out.state = *state;
    out.time = *time;
    out.digest = value.at("digest").get<std::string>();
    out.attempt = value.at("attempt").get<std::string>();
    out.instance = value.at("instance").get<std::string>();
    out.incarnation = value.at("incarnation").get<std::uint64_t>();
    if (value.contains("outcome"))
        out.outcome = parseOutcome(value.at("outcome"));
    if ((out.state == JournalState::Finished) != out.outcome.has_value())
        return std::nullopt;
    return out;
}

} // namespace

RowId journalRowId(std::string_view team, std::string_view key)
{
    return { .table = "journal", .key = percentEncode(team) + "/" + percentEncode(key) };
}

std::string requestDigest(const ServiceRequest& request)
{
    std::vector<std::pair<std::string, std::string>> headers;
    for (const auto& [name, value] : request.request.headers) {
        auto lower = lowerCase(name);
        if (!isTransient(lower) && !lower.starts_with("bulrush-"))
            headers.emplace_back(std::move(lower), value);
    }
    // The sort is stable, since the order of values with the same name may be significant; the order of names is not.
    std::stable_sort(headers.begin(), headers.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::string text;
    for (std::string_view part : { std::string_view(request.service), std::string_view(request.request.method),
             std::string_view(request.request.target), std::string_view(request.request.body) })
        appendLengthPrefixed(text, part);
    for (const auto& [name, value] : headers) {
        appendLengthPrefixed(text, name);
        appendLengthPrefixed(text, value);
    }
    return sha256Hex(text);
}

json toJson(const JournalEntry& entry)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(entry.time.time_since_epoch());
    json out {
        { "digest", entry.digest },
        { "attempt", entry.attempt },
        { "instance", entry.instance },
        { "incarnation", entry.incarnation },
        { "time_ms", time.count() },
        { "state", toString(entry.state) },
    };
    if (entry.outcome)
        out["outcome"] = toJson(*entry.outcome);
    return out;
}

std::optional<JournalEntry> parseJournalEntry(const json& value)
{
    try {
        return parseEntryFields(value);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

JournalOutcome limitOutcomeSize(JournalOutcome outcome, std::size_t limit)
{
    auto size = outcome.response.body.size();
    for (const auto& [name, value] : outcome.response.headers)
        size += name.size() + value.size();
    if (size <= limit)
        return outcome;
    outcome.bodyDigest = sha256Hex(outcome.response.body);
    outcome.response.body.clear();
    outcome.response.headers = {};
    return outcome;
}

} // namespace bulrushstack
