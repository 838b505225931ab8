#pragma once

#include "bulrushstack/net/client_buffers.h"
#include "http_beast.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrushstack::detail {

/// A connection of a client to the server. The server shares its ownership with the coroutine that serves it.
struct ServerConnection : std::enable_shared_from_this<ServerConnection> {
    ServerConnection(asio::ip::tcp::socket socket, std::shared_ptr<ClientBuffers> clientBuffers);

    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    std::string clientAddress() const;

    /// Calls the function when the client closes the connection, unless the connection has moved on to another request.
    void watchForDisconnect(std::function<void()> callback);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::shared_ptr<ClientBuffers> buffers;
    ClientBuffer memory; ///< memory of the buffer, the request, and a response that is not sent yet
    bool isBusy = false; ///< whether a request is being handled
    bool isResetOnClose = false; ///< whether it must end with a TCP reset, because its response is not complete
    std::uint64_t requestNumber = 0; ///< lets watchForDisconnect() detect that its request has ended

private:
    void closeAsStalled(std::size_t held);
};

} // namespace bulrushstack::detail
