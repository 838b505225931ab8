#pragma once

#include "bulrushstack/kernel/clock.h"

#include <optional>
#include <string_view>

namespace bulrushstack {

/// What the idle connections to a process say about it at the end of a response.
enum class ProcessState {
    Running, ///< a connection from before the end is still open
    Listening, ///< only a connection that was established later is open, perhaps to another process
    Ended, ///< a connection ended in the same moment
    NotListening, ///< no connection could be established any more
    Unknown, ///< there is no connection for another reason
};

std::string_view toString(ProcessState state);

/// What idle connections show of the process at their other end. Performs no I/O.
///
/// The operating system ends all connections of a process in the moment in which the process ends, also those that are
/// idle, and no other event ends an idle connection together with a response. While an idle connection from before the
/// end of a response stays, its process has outlived the response. It makes no difference whether the process listens,
/// how many responses it ends at once, or whether another process takes its address.
class ProcessEvidence {
public:
    /// Records that an idle connection is open, perhaps in place of another one that is still open. `isAccepted` is
    /// whether the process has responded on it before. One on which it has not may be rejected when it is accepted, so
    /// that its end says nothing for a while.
    void recordOpen(SteadyTime now, bool isAccepted);

    /// Records that the idle connection was closed in order.
    void recordClosed(SteadyTime now);

    /// Records that the idle connection was lost in a way that a process that ends does not cause.
    void recordLost();

    /// Records that no connection could be established, since nothing listens at the address.
    void recordRefused();

    /// Returns the state of the process at the end of a response, of which this host has heard at `responseEnd`. To be
    /// asked some time later, since connections that end in one moment may be heard of one after the other.
    ProcessState stateAt(SteadyTime responseEnd) const;

private:
    bool m_isFirst = true; ///< whether the process has been watched without a gap
    bool m_isRefused = false;
    std::optional<SteadyTime> m_openedAt; ///< of the connection that is open
    bool m_isAccepted = false; ///< whether its end is that of the process, however soon it comes
    /// Time of the last end that the process may have caused by its own.
    std::optional<SteadyTime> m_closedAt;
};

/// Whether a response that ended with its connection is whole.
enum class ResponseEndVerdict {
    Whole,
    ProcessEnded, ///< its process ended with it
    Unproven, ///< nothing shows that its process has outlived it
};

std::string_view toString(ResponseEndVerdict verdict);

/// What is known of a process shortly after the end of a response.
struct ResponseEndFacts {
    ProcessState process = ProcessState::Unknown;
    /// Whether the directory lists another process at the address.
    bool isReplaced = false;
    /// Whether somebody listens at the address; empty if that was not tried.
    std::optional<bool> isListening;

    friend bool operator==(const ResponseEndFacts&, const ResponseEndFacts&) = default;
};

/// Returns whether it must still be tried whether somebody listens, since nothing else decides.
bool needsListeningProbe(const ResponseEndFacts& facts);

/// Decides whether a response is whole whose end is that of its connection. One without evidence is not: its caller
/// could not tell that a part is missing.
ResponseEndVerdict judgeResponseEnd(const ResponseEndFacts& facts);

} // namespace bulrushstack
