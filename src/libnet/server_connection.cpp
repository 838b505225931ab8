#include "server_connection.h"

namespace bulrushstack::detail {

ServerConnection::ServerConnection(
    asio::ip::tcp::socket socket, std::uint64_t connectionNumber, std::shared_ptr<ClientBuffers> clientBuffers)
    : stream(std::move(socket))
    , number(connectionNumber)
    , buffers(std::move(clientBuffers))
    , memory(
          buffers, [this](std::size_t held) { closeAsStalled(held); }, [this] { return deadline.canGoOn(); })
{
    beast::error_code ec;
    const auto endpoint = stream.socket().remote_endpoint(ec);
    m_clientAddress = ec ? "unknown" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void ServerConnection::watchForDisconnect(std::function<void()> callback)
{
    auto watch = [self = shared_from_this(), watched = requestNumber, callback = std::move(callback)](
                     beast::error_code ec) {
        if (ec || self->requestNumber != watched)
            return;
        const auto state = peerState(self->stream.socket());
        if (state == PeerState::Open)
            return;
        self->clientEnd = state == PeerState::Reset ? UnansweredReason::ClientReset : UnansweredReason::ClientClosed;
        callback();
    };
    stream.socket().async_wait(asio::ip::tcp::socket::wait_read, std::move(watch));
}

void ServerConnection::beginRequest()
{
    ++requestNumber;
    phase = ConnectionPhase::Idle;
    clientEnd.reset();
    m_receivedBytes = 0;
    m_lastByteAt = {};
    if (buffer.size() > 0)
        recordReceived(buffer.size());
}

void ServerConnection::recordReceived(std::size_t n)
{
    m_receivedBytes += n;
    m_lastByteAt = SocketDeadline::Timer::clock_type::now();
}

UnansweredRequest ServerConnection::unanswered(UnansweredReason reason, HttpHeaders headers)
{
    UnansweredRequest out { .reason = reason,
        .phase = phase,
        .client = m_clientAddress,
        .connection = number,
        .request = requestNumber,
        .headers = std::move(headers),
        .receivedBytes = m_receivedBytes,
        .unreadBytes = unreadBytes(stream.socket()) };
    if (m_receivedBytes > 0)
        out.sinceLastByte = SocketDeadline::Timer::clock_type::now() - m_lastByteAt;
    return out;
}

void ServerConnection::closeAsStalled(std::size_t held)
{
    buffers->logRefusal("closed", m_clientAddress, held);
    stream.close();
}

} // namespace bulrushstack::detail
