#include "request_timeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <istream>
#include <set>

namespace bulrushstack {

namespace {

/// Events that change the state on which an instance bases its decisions. Lines with the id of a request are selected
/// separately.
constexpr std::array<std::string_view, 15> stateChangeEvents { "dependency-lost", "dependency-regained",
    "lease-acquired", "lease-lost", "lease-released", "placement-term", "configuration", "configuration-unreadable",
    "upstream-changed", "upstream-removed", "upstream-expired", "upstream-unreadable", "order", "reload", "shutdown" };

/// Parses the first field of the text and removes it from the text; returns false if no field is left.
bool consumeField(std::string_view& text, std::string& name, std::string& value)
{
    const auto start = text.find_first_not_of(' ');
    if (start == std::string_view::npos)
        return false;
    text.remove_prefix(start);
    const auto nameEnd = std::min(text.find_first_of("= "), text.size());
    name = std::string(text.substr(0, nameEnd));
    value.clear();
    text.remove_prefix(nameEnd);
    if (!text.starts_with('='))
        return true;
    text.remove_prefix(1);
    const bool isQuoted = text.starts_with('"');
    const auto end = isQuoted ? text.find('"', 1) : text.find(' ');
    const auto length = std::min(end, text.size());
    value = std::string(isQuoted ? text.substr(1, length - 1) : text.substr(0, length));
    text.remove_prefix(std::min(text.size(), length + (isQuoted ? 1 : 0)));
    return true;
}

bool isStateChange(const LogLine& line)
{
    return std::find(stateChangeEvents.begin(), stateChangeEvents.end(), line.field("event"))
        != stateChangeEvents.end();
}

/// Log files, upstreams and models that occur in the log lines of a request.
struct RequestContext {
    std::set<std::string_view> sources;
    std::set<std::string_view> upstreams;
    std::set<std::string_view> models;

    explicit RequestContext(const std::vector<LogLine>& requestLines)
    {
        for (const auto& it : requestLines) {
            sources.insert(it.source);
            for (const auto& [target, name] : { std::pair(&upstreams, "upstream"), std::pair(&models, "model") }) {
                if (const auto value = it.field(name); !value.empty())
                    target->insert(value);
            }
        }
    }

    /// Returns whether a state change concerns the request. A line that names an upstream or a model must name one of
    /// the request's; any other line must come from the log of an instance that handled the request.
    bool isRelated(const LogLine& line) const
    {
        const auto upstream = line.field("upstream");
        const auto model = line.field("model");
        if (upstream.empty() && model.empty())
            return sources.count(line.source) > 0;
        return upstreams.count(upstream) > 0 || models.count(model) > 0;
    }
};

void sortByTime(std::vector<LogLine>& lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const auto& a, const auto& b) { return a.time < b.time; });
}

} // namespace

std::string_view LogLine::field(std::string_view name) const
{
    auto it = fields.find(name);
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

std::optional<LogLine> parseLogLine(std::string source, std::string text)
{
    LogLine out { .source = std::move(source), .text = std::move(text) };
    std::string_view rest = out.text;
    for (std::string name, value; consumeField(rest, name, value);)
        out.fields.emplace(name, value);
    const auto time = out.field("time");
    const auto [end, ec] = std::from_chars(time.data(), time.data() + time.size(), out.time);
    if (ec != std::errc() || time.empty() || end != time.data() + time.size() || out.field("event").empty())
        return std::nullopt;
    return out;
}

std::vector<LogLine> readLog(const std::string& source, std::istream& input)
{
    std::vector<LogLine> out;
    for (std::string text; std::getline(input, text);) {
        if (auto line = parseLogLine(source, std::move(text)))
            out.push_back(std::move(*line));
    }
    return out;
}

RequestTimeline buildTimeline(
    const std::string& requestId, const std::vector<LogLine>& lines, std::chrono::duration<double> lookback)
{
    RequestTimeline out;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(out.requestLines),
        [&](const auto& it) { return it.field("request") == requestId; });
    if (out.requestLines.empty())
        return out;
    sortByTime(out.requestLines);
    const RequestContext context(out.requestLines);
    const double windowStart = out.requestLines.front().time - lookback.count();
    const double windowEnd = out.requestLines.back().time;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(out.stateChanges), [&](const auto& it) {
        return it.time >= windowStart && it.time <= windowEnd && isStateChange(it) && context.isRelated(it);
    });
    sortByTime(out.stateChanges);
    return out;
}

std::string formatTimeline(const RequestTimeline& timeline)
{
    if (timeline.requestLines.empty())
        return "no log line names the request\n";
    std::string out;
    const auto append = [&](const std::vector<LogLine>& lines) {
        for (const auto& it : lines) {
            char buf[32];
            std::snprintf(buf, sizeof(buf), "%+10.3f s  ", it.time - timeline.requestLines.front().time);
            const auto event = it.text.find("event=");
            out += buf + it.source + "  " + it.text.substr(event) + "\n";
        }
    };
    out += "state changes before the end of the request:\n";
    append(timeline.stateChanges);
    out += "what was decided:\n";
    append(timeline.requestLines);
    return out;
}

} // namespace bulrushstack
