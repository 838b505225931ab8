#pragma once

#include "bulrushstack/net/client_buffers.h"
#include "bulrushstack/net/unanswered_request.h"
#include "socket_deadline.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bulrushstack::detail {

/// A connection of a client to the server. The server shares its ownership with the coroutine that serves it.
struct ServerConnection : std::enable_shared_from_this<ServerConnection> {
    ServerConnection(
        asio::ip::tcp::socket socket, std::uint64_t connectionNumber, std::shared_ptr<ClientBuffers> clientBuffers);

    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    const std::string& clientAddress() const { return m_clientAddress; }

    /// Calls the function when the client closes the connection, unless the connection has moved on to another request.
    void watchForDisconnect(std::function<void()> callback);

    /// Begins to wait for the next request.
    void beginRequest();
    /// Records bytes that were read of the current request.
    void recordReceived(std::size_t n);

    /// Returns the current request as one that stays without a complete response.
    /// @param headers  its header section; empty if that was not read
    UnansweredRequest unanswered(UnansweredReason reason, HttpHeaders headers = {});

    beast::tcp_stream stream;
    SocketDeadline deadline { stream.socket() }; ///< of the read or write in progress
    beast::flat_buffer buffer;
    std::uint64_t number; ///< number of this connection at its server
    std::shared_ptr<ClientBuffers> buffers;
    ClientBuffer memory; ///< memory of the buffer, the request, and a response that is not sent yet
    bool isResetOnClose = false; ///< whether it must end with a TCP reset, because its response is not complete
    std::uint64_t requestNumber = 0; ///< lets watchForDisconnect() detect that its request has ended
    ConnectionPhase phase = ConnectionPhase::Idle;
    /// How the client ended the connection, once that was noticed during the current request.
    std::optional<UnansweredReason> clientEnd;

private:
    std::string m_clientAddress;
    std::size_t m_receivedBytes = 0;
    SocketDeadline::Timer::time_point m_lastByteAt {};

    void closeAsStalled(std::size_t held);
};

} // namespace bulrushstack::detail
