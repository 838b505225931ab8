#pragma once

#include "bulrushstack/kernel/clock.h"

#include <cstdint>
#include <glog/logging.h>
#include <string>

namespace bulrushstack {

struct LogOutputOptions {
    int descriptor = 1;
    double linesPerSecond = 100; ///< long-term rate of INFO lines
    double burst = 400; ///< INFO lines that may come at once
};

/// Sends the lines of glog to a descriptor without ever blocking: what the reader does not take is dropped and
/// counted. INFO lines beyond the rate are left out and counted; warnings and errors have a rate of their own.
class LogOutput final : public google::LogSink {
public:
    LogOutput(const Clock& clock, LogOutputOptions options);
    ~LogOutput() override;

    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;

    void send(google::LogSeverity severity, const char* fullName, const char* baseName, int line,
        const google::LogMessageTime& time, const char* message, size_t length) override;

    /// Returns the lines that were left out since the start.
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
    std::string m_unsent; ///< rest of a line that was written in part
};

} // namespace bulrushstack
