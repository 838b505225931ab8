#include "bulrushstack/net/unanswered_request.h"

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
    case UnansweredReason::IdleTimeout:
        return "idle-timeout";
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

} // namespace bulrushstack
