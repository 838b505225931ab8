#include "bulrushstack/serving/process_evidence.h"

#include <chrono>

namespace bulrushstack {

namespace {

/// Maximum time by which this host hears of the end of an idle connection before it hears of the end of a response that
/// ended in the same moment.
constexpr std::chrono::milliseconds sameMoment { 10 };
/// Time in which a server closes a new connection that it has no room for.
constexpr std::chrono::milliseconds rejectionPeriod { 100 };

} // namespace

std::string_view toString(ProcessState state)
{
    switch (state) {
    case ProcessState::Running:
        return "running";
    case ProcessState::Listening:
        return "listening";
    case ProcessState::Ended:
        return "ended";
    case ProcessState::NotListening:
        return "not-listening";
    case ProcessState::Unknown:
        break;
    }
    return "unknown";
}

void ProcessEvidence::recordOpen(SteadyTime now, bool isAccepted)
{
    if (!m_openedAt)
        m_openedAt = now;
    m_isAccepted = isAccepted;
    m_isRefused = false;
}

void ProcessEvidence::recordClosed(SteadyTime now)
{
    if (m_openedAt && (m_isAccepted || now - *m_openedAt >= rejectionPeriod))
        m_closedAt = now;
    recordLost();
}

void ProcessEvidence::recordLost()
{
    m_openedAt.reset();
    m_isFirst = false;
}

void ProcessEvidence::recordRefused()
{
    m_isRefused = true;
    m_isFirst = false;
}

ProcessState ProcessEvidence::stateAt(SteadyTime responseEnd) const
{
    if (m_closedAt && *m_closedAt >= responseEnd - sameMoment)
        return ProcessState::Ended;
    if (m_openedAt)
        return m_isFirst && *m_openedAt <= responseEnd ? ProcessState::Running : ProcessState::Listening;
    return m_isRefused ? ProcessState::NotListening : ProcessState::Unknown;
}

std::string_view toString(ResponseEndVerdict verdict)
{
    switch (verdict) {
    case ResponseEndVerdict::Whole:
        return "whole";
    case ResponseEndVerdict::ProcessEnded:
        return "process-ended";
    case ResponseEndVerdict::Unproven:
        break;
    }
    return "unproven";
}

bool needsListeningProbe(const ResponseEndFacts& facts)
{
    return facts.process == ProcessState::Unknown && !facts.isReplaced && !facts.isListening;
}

ResponseEndVerdict judgeResponseEnd(const ResponseEndFacts& facts)
{
    if (facts.process == ProcessState::Running)
        return ResponseEndVerdict::Whole;
    if (facts.process == ProcessState::Ended || facts.isReplaced)
        return ResponseEndVerdict::ProcessEnded;
    const bool isListening = facts.process == ProcessState::Listening || facts.isListening.value_or(false);
    return isListening ? ResponseEndVerdict::Whole : ResponseEndVerdict::Unproven;
}

} // namespace bulrushstack
