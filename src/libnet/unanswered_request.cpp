#include "bulrushstack/net/unanswered_request.h"

#include <ostream>

namespace bulrushstack {

std::string_view toString(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::Idle:
        return "idle";
    case ConnectionPhase::Header:
        return "header";
    case ConnectionPhase::Body:
        return "body";
    case ConnectionPhase::Response:
        return "response";
    }
    return "unknown";
}

std::string_view toString(UnansweredReason reason)
{
    switch (reason) {
    case UnansweredReason::WriteTimeout:
        return "write-timeout";
    case UnansweredReason::ClientClosed:
        return "client-closed";
    case UnansweredReason::ClientReset:
        return "client-reset";
    case UnansweredReason::ClientStalled:
        return "client-stalled";
    case UnansweredReason::Draining:
        return "draining";
    case UnansweredReason::HandlerClosed:
        return "handler-closed";
    case UnansweredReason::HandlerFailed:
        return "handler-failed";
    }
    return "unknown";
}

std::ostream& operator<<(std::ostream& out, const UnansweredRequest& request)
{
    const auto lastByte = std::chrono::duration_cast<std::chrono::milliseconds>(request.sinceLastByte);
    return out << "reason=" << toString(request.reason) << " phase=" << toString(request.phase)
               << " client=" << request.client << " connection=" << request.connection
               << " connection_requests=" << request.request << " received_bytes=" << request.receivedBytes
               << " unread_bytes=" << request.unreadBytes << " last_byte_ms=" << lastByte.count();
}

} // namespace bulrushstack
