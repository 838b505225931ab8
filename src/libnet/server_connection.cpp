#include "server_connection.h"

namespace bulrushstack::detail {

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, std::shared_ptr<ClientBuffers> clientBuffers)
    : stream(std::move(socket))
    , buffers(std::move(clientBuffers))
    , memory(buffers, [this](std::size_t held) { closeAsStalled(held); })
{
}

std::string ServerConnection::clientAddress() const
{
    beast::error_code ec;
    const auto endpoint = stream.socket().remote_endpoint(ec);
    return ec ? "unknown" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void ServerConnection::watchForDisconnect(std::function<void()> callback)
{
    auto watch = [self = shared_from_this(), watched = requestNumber, callback = std::move(callback)](
                     beast::error_code ec) {
        if (ec || self->requestNumber != watched || !isPeerClosed(self->stream.socket()))
            return;
        callback();
    };
    stream.socket().async_wait(asio::ip::tcp::socket::wait_read, std::move(watch));
}

void ServerConnection::closeAsStalled(std::size_t held)
{
    buffers->logRefusal("closed", clientAddress(), held);
    stream.close();
}

} // namespace bulrushstack::detail
