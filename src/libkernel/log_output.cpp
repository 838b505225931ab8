#include "bulrushstack/kernel/log_output.h"

#include <algorithm>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace bulrushstack {

namespace {

constexpr char severityLetters[] = "IWEF";

std::string formatTime(WallTime time)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%lld.%03lld", static_cast<long long>(milliseconds / 1000),
        static_cast<long long>(milliseconds % 1000));
    return buf;
}

} // namespace

LogOutput::LogOutput(const Clock& clock, LogOutputOptions options)
    : m_clock(clock)
    , m_options(options)
{
    m_infoBucket = m_warningBucket = TokenBucket { .tokens = options.burst, .updated = clock.now() };
    const int flags = ::fcntl(options.descriptor, F_GETFL);
    ::fcntl(options.descriptor, F_SETFL, flags | O_NONBLOCK);
    google::AddLogSink(this);
}

LogOutput::~LogOutput() { google::RemoveLogSink(this); }

bool LogOutput::takeToken(TokenBucket& bucket)
{
    const auto now = m_clock.now();
    const double elapsed = std::chrono::duration<double>(now - bucket.updated).count();
    bucket.tokens = std::min(m_options.burst, bucket.tokens + elapsed * m_options.linesPerSecond);
    bucket.updated = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

void LogOutput::send(google::LogSeverity severity, const char*, const char*, int, const google::LogMessageTime&,
    const char* message, size_t length)
{
    if (!takeToken(severity == google::GLOG_INFO ? m_infoBucket : m_warningBucket)) {
        ++m_dropped;
        return;
    }
    std::string line = "time=" + formatTime(m_clock.wallNow()) + " level=" + severityLetters[severity & 3] + " ";
    line.append(message, length);
    if (m_dropped != m_droppedReported) {
        line += " lines_left_out=" + std::to_string(m_dropped - m_droppedReported);
        m_droppedReported = m_dropped;
    }
    line += '\n';
    write(line);
}

void LogOutput::write(const std::string& line)
{
    const std::string data = m_unsent + line;
    const auto n = ::write(m_options.descriptor, data.data(), data.size());
    if (n < 0) {
        ++m_dropped;
        return;
    }
    const auto sent = static_cast<std::size_t>(n);
    // A partially written line is completed before the next line is written. A line of which nothing was written is
    // dropped.
    const bool isLineStarted = sent > m_unsent.size();
    if (sent == data.size()) {
        m_unsent.clear();
    } else if (isLineStarted) {
        m_unsent = data.substr(sent);
    } else {
        m_unsent.erase(0, sent);
        ++m_dropped;
    }
}

} // namespace bulrushstack
