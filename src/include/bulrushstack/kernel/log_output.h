#pragma once

#include "bulrushstack/kernel/clock.h"

#include <cstdint>
#include <glog/logging.h>
#include <string>

namespace bulrushstack {

struct LogOutputOptions {
    int descriptor = 1; ///< file descriptor that lines are written to; set to non-blocking mode
    double linesPerSecond = 100; ///< sustained rate of INFO lines, and separately of warnings and errors
    double burst = 400; ///< number of lines that may exceed the rate at once
};

/// Glog sink that writes log lines to a file descriptor without blocking. Lines that do not fit into a full pipe and
/// lines above the rate limit are dropped; the next written line reports their number as lines_left_out. INFO lines and
/// lines of higher severity have separate rate limits, so that a flood of INFO lines does not suppress errors.
class LogOutput final : public google::LogSink {
public:
    LogOutput(const Clock& clock, LogOutputOptions options);
    ~LogOutput() override;

    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;

    void send(google::LogSeverity severity, const char* fullName, const char* baseName, int line,
        const google::LogMessageTime& time, const char* message, size_t length) override;

    /// Returns the number of lines dropped since construction.
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct TokenBucket {
        double tokens = 0;
        SteadyTime updated {};
    };

    bool takeToken(TokenBucket& bucket);
    void write(const std::string& line);

    const Clock& m_clock;
    LogOutputOptions m_options;
    TokenBucket m_infoBucket;
    TokenBucket m_warningBucket;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    std::string m_unsent; ///< remainder of a line that was written partially
};

} // namespace bulrushstack
