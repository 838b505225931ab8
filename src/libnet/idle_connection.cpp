#include "bulrushstack/net/idle_connection.h"

#include "connection_pool.h"

#include <array>
#include <boost/asio/steady_timer.hpp>

namespace bulrushstack {

using namespace detail;

/// What IdleConnection shares with the coroutine that waits for the end of its connection.
struct detail::IdleWatch {
    explicit IdleWatch(asio::io_context& context)
        : overdue(context)
    {
    }

    bool isOver = false; ///< whether the IdleConnection was destroyed
    bool isOverdue = false;
    asio::steady_timer overdue; ///< expires when the connection is to be replaced
};

namespace {

/// Maximum number of bytes without a request that are read while the end of the connection is awaited.
constexpr std::size_t unsolicitedLimit = 64 * 1024;

std::optional<IdleConnectionEnd> endOf(ClientConnection& connection)
{
    switch (peerState(connection.stream.socket())) {
    case PeerState::Open:
        return std::nullopt;
    case PeerState::Closed:
        return IdleConnectionEnd::Closed;
    case PeerState::Reset:
        break;
    }
    return IdleConnectionEnd::Reset;
}

/// Reads what has arrived although no request was sent, so that the end behind it can be seen. Returns the number of
/// bytes.
std::size_t discardInput(ClientConnection& connection)
{
    std::array<char, 4096> buf;
    beast::error_code ec;
    return hasInput(connection.stream.socket()) ? connection.stream.socket().read_some(asio::buffer(buf), ec) : 0;
}

asio::awaitable<IdleConnectionEnd> waitForEndOf(ClientConnectionPtr connection, std::shared_ptr<IdleWatch> watch)
{
    auto& socket = connection->stream.socket();
    for (std::size_t unsolicited = 0; unsolicited <= unsolicitedLimit;) {
        auto [ec] = co_await socket.async_wait(asio::socket_base::wait_read, asTuple);
        if (watch->isOver)
            co_return IdleConnectionEnd::Reset; // A request may use the connection by now.
        if (watch->isOverdue)
            co_return IdleConnectionEnd::Overdue;
        if (ec)
            co_return IdleConnectionEnd::Reset;
        const std::size_t n = discardInput(*connection);
        connection->hasUnsolicitedInput = connection->hasUnsolicitedInput || n > 0;
        unsolicited += n;
        if (const auto end = endOf(*connection))
            co_return *end;
    }
    co_return IdleConnectionEnd::Reset;
}

} // namespace

IdleConnection::IdleConnection(
    std::shared_ptr<ConnectionPool> pool, Address address, std::shared_ptr<ClientConnection> connection)
    : m_pool(std::move(pool))
    , m_address(std::move(address))
    , m_connection(std::move(connection))
    , m_watch(std::make_shared<IdleWatch>(m_pool->context()))
{
}

IdleConnection::~IdleConnection()
{
    m_watch->isOver = true;
    m_watch->overdue.cancel();
    beast::error_code ec;
    m_connection->stream.socket().cancel(ec);
    m_pool->putBack(m_address, std::move(m_connection));
}

asio::awaitable<IdleConnectionEnd> IdleConnection::waitForEnd(std::chrono::nanoseconds replaceAfter)
{
    m_watch->isOverdue = false;
    if (replaceAfter != std::chrono::nanoseconds::max()) {
        m_watch->overdue.expires_after(replaceAfter - idleTime());
        m_watch->overdue.async_wait([watch = m_watch, connection = m_connection](beast::error_code ec) {
            if (ec || watch->isOver)
                return;
            watch->isOverdue = true;
            connection->stream.socket().cancel(ec);
        });
    }
    return waitForEndOf(m_connection, m_watch);
}

std::optional<IdleConnectionEnd> IdleConnection::end() const { return endOf(*m_connection); }

bool IdleConnection::isAccepted() const { return m_connection->info.requests > 0; }

std::chrono::nanoseconds IdleConnection::idleTime() const { return m_pool->now() - m_connection->idleSince; }

std::chrono::nanoseconds IdleConnection::idleLimit() const { return m_connection->idleLimit; }

} // namespace bulrushstack
