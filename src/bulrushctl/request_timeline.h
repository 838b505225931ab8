#pragma once

#include <chrono>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// A line of a structured log: fields of the form name=value or name="value".
struct LogLine {
    std::string source; ///< log file from which it came
    std::string text;
    double time = 0; ///< seconds since the epoch
    std::map<std::string, std::string, std::less<>> fields;

    /// Returns the value of a field; empty if the line has none of that name.
    std::string_view field(std::string_view name) const;
};

/// Returns the line, or nothing if it is no structured line with a time and an event.
std::optional<LogLine> parseLogLine(std::string source, std::string text);

/// Reads the structured lines of one log; other lines are left out.
std::vector<LogLine> readLog(const std::string& source, std::istream& input);

/// What several instances' logs say of one request.
struct RequestTimeline {
    std::vector<LogLine> requestLines; ///< lines that name the request, in order
    std::vector<LogLine>
        stateChanges; ///< changes before its end that concern its model, its upstreams or its instances
};

/// Collects the story of a request. Changes of what instances believed count from `before` its first line on.
RequestTimeline buildTimeline(
    const std::string& requestId, const std::vector<LogLine>& lines, std::chrono::duration<double> lookback);

/// Returns the story as text: each line with its time relative to the first decision and its source.
std::string formatTimeline(const RequestTimeline& timeline);

} // namespace bulrushstack
