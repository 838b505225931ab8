#pragma once

#include "bulrushstack/net/http.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

namespace bulrushstack {

/// What a connection of a client waited for when it ended.
enum class ConnectionPhase {
    Idle, ///< the first byte of a request
    Header, ///< the rest of the header section
    Body, ///< the rest of the body
    Response, ///< the handler, or the client's receipt of the response
};

/// Why a connection ended without a complete response.
enum class UnansweredReason {
    WriteTimeout, ///< the client did not receive the response in time
    ClientClosed, ///< the client closed its sending direction
    ClientReset, ///< the client reset the connection
    ClientStalled, ///< closed since another client needed the memory
    Draining, ///< closed since the server drains
    HandlerClosed, ///< the handler ended the response early
    HandlerFailed, ///< the handler threw an exception after it had begun the response
};

std::string_view toString(ConnectionPhase phase);
std::string_view toString(UnansweredReason reason);

/// A request, or the part of it that had arrived, whose connection ended without a complete response.
struct UnansweredRequest {
    UnansweredReason reason = UnansweredReason::HandlerClosed;
    ConnectionPhase phase = ConnectionPhase::Idle;
    std::string client; ///< address of the client
    std::uint64_t connection = 0; ///< number of the connection at its server
    std::uint64_t request = 0; ///< number of the request on its connection, from 1
    HttpHeaders headers; ///< empty if the header section was not read
    std::size_t receivedBytes = 0; ///< bytes that were read of the request
    std::size_t unreadBytes = 0; ///< bytes that were waiting in the socket
    std::chrono::nanoseconds sinceLastByte {}; ///< time since bytes of the request were last read; 0 if none were
};

/// Writes the fields of a log line, but for the headers.
std::ostream& operator<<(std::ostream& out, const UnansweredRequest& request);

} // namespace bulrushstack
