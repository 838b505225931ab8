#pragma once

#include <chrono>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// A structured log line, which consists of fields of the form name=value or name="value".
struct LogLine {
    std::string source; ///< path of the log file; "-" for standard input
    std::string text; ///< complete line
    double time = 0; ///< seconds since the Unix epoch
    std::map<std::string, std::string, std::less<>> fields;

    /// Returns the value of a field; empty if the line has no such field.
    std::string_view field(std::string_view name) const;
};

/// Parses a line; returns std::nullopt if it lacks a valid "time" or an "event" field.
std::optional<LogLine> parseLogLine(std::string source, std::string text);

/// Reads the structured lines of a log and skips all others.
std::vector<LogLine> readLog(const std::string& source, std::istream& input);

/// Log lines of several instances that explain the outcome of one request. Both lists are sorted by time.
struct RequestTimeline {
    std::vector<LogLine> requestLines; ///< lines with the id of the request
    std::vector<LogLine> stateChanges; ///< up to the end of the request, for its models, upstreams and instances
};

/// Collects the timeline of a request. State changes are included from `lookback` before the first line of the request
/// to its last line.
RequestTimeline buildTimeline(
    const std::string& requestId, const std::vector<LogLine>& lines, std::chrono::duration<double> lookback);

/// Returns the timeline as text: each line with its source and its time in seconds relative to the first line of the
/// request.
std::string formatTimeline(const RequestTimeline& timeline);

} // namespace bulrushstack
