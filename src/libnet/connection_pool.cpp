#include "connection_pool.h"

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>

namespace bulrushstack::detail {

namespace {

constexpr std::size_t idleLimitPerAddress = 64; // connections
constexpr std::size_t idleLimit = 512; // connections
/// Time after which no caller reuses an idle connection; see HttpCallOptions::maxIdle.
constexpr std::chrono::seconds maxIdleTime { 30 };
constexpr std::chrono::seconds checkInterval { 5 };

/// Returns whether the connection may carry a request with this id and with HttpCallOptions::establishedBefore.
bool mayCarry(const ClientConnection& connection, SteadyTime establishedBefore, std::string_view requestId)
{
    return connection.info.establishedAt < establishedBefore && !connection.sentIds.contains(requestId);
}

} // namespace

ClientConnection::ClientConnection(asio::io_context& context, std::shared_ptr<std::size_t> connectionCount)
    : stream(context)
    , buffer(bufferLimit)
    , backgroundSend(context)
    , m_connectionCount(std::move(connectionCount))
{
    ++*m_connectionCount;
}

ClientConnection::~ClientConnection() { --*m_connectionCount; }

ConnectionPool::ConnectionPool(asio::io_context& context, const Clock& clock)
    : m_context(context)
    , m_clock(clock)
{
}

ClientConnectionPtr ConnectionPool::create()
{
    auto connection = std::make_shared<ClientConnection>(m_context, m_connectionCount);
    connection->info.number = ++m_lastNumber;
    return connection;
}

ClientConnectionPtr ConnectionPool::acquire(
    const Address& address, const HttpCallOptions& options, std::string_view requestId)
{
    const auto establishedBefore = options.establishedBefore.value_or(SteadyTime::max());
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    for (std::size_t i = idle.size(); i > 0; --i) {
        if (m_clock.now() - idle[i - 1]->idleSince >= options.maxIdle)
            return nullptr;
        if (!mayCarry(*idle[i - 1], establishedBefore, requestId))
            continue;
        auto connection = std::move(idle[i - 1]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        if (isReusable(*connection)) {
            --m_idleCount;
            return connection;
        }
        recordEvicted(1);
        recordUnsolicited(*connection);
    }
    // The new connection takes the place of one that has carried the id. Otherwise requests that repeat an id would add
    // a connection each.
    if (!options.establishedBefore && !idle.empty()) {
        idle.erase(idle.begin());
        recordEvicted(1);
    }
    return nullptr;
}

bool ConnectionPool::hasIdle(const Address& address, SteadyTime establishedBefore, std::string_view requestId) const
{
    const auto it = m_idle.find(address);
    return it != m_idle.end()
        && std::any_of(it->second.begin(), it->second.end(), [&](const ClientConnectionPtr& connection) {
               return mayCarry(*connection, establishedBefore, requestId) && isReusable(*connection);
           });
}

void ConnectionPool::release(const Address& address, ClientConnectionPtr connection)
{
    if (m_clock.now() - m_checkedAt >= checkInterval)
        closeUnusable();
    if (connection->sentIds.isFull())
        return;
    connection->idleSince = m_clock.now();
    add(address, std::move(connection));
}

ClientConnectionPtr ConnectionPool::takeLongestIdle(const Address& address, std::chrono::nanoseconds maxIdle)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    const auto it = std::find_if(idle.begin(), idle.end(), [&](const ClientConnectionPtr& connection) {
        const auto limit = std::min(connection->idleLimit / 2, maxIdle);
        return m_clock.now() - connection->idleSince < limit && isReusable(*connection);
    });
    if (it == idle.end())
        return nullptr;
    auto connection = std::move(*it);
    idle.erase(it);
    --m_idleCount;
    return connection;
}

void ConnectionPool::putBack(const Address& address, ClientConnectionPtr connection)
{
    if (m_isShutDown)
        return;
    if (connection->hasUnsolicitedInput)
        ++m_unsolicited;
    else if (isReusable(*connection))
        add(address, std::move(connection));
}

/// Adds an idle connection behind those that have been idle for longer.
void ConnectionPool::add(const Address& address, ClientConnectionPtr connection)
{
    auto& idle = m_idle[address];
    const auto it = std::upper_bound(idle.begin(), idle.end(), connection,
        [](const ClientConnectionPtr& a, const ClientConnectionPtr& b) { return a->idleSince < b->idleSince; });
    idle.insert(it, std::move(connection));
    ++m_idleCount;
    if (idle.size() > idleLimitPerAddress) {
        idle.erase(idle.begin());
        recordEvicted(1);
    }
    if (m_idleCount > idleLimit)
        closeLongestIdle();
}

void ConnectionPool::closeIdle(const Address& address)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return;
    recordEvicted(it->second.size());
    m_idle.erase(it);
}

void ConnectionPool::closeAllIdle()
{
    recordEvicted(m_idleCount);
    m_idle.clear();
}

void ConnectionPool::shutDown()
{
    m_isShutDown = true;
    closeAllIdle();
}

HttpConnectionCounts ConnectionPool::counts() const
{
    return { .open = *m_connectionCount, .idle = m_idleCount, .evicted = m_evicted, .unsolicited = m_unsolicited };
}

bool ConnectionPool::isReusable(ClientConnection& connection) const
{
    const auto idleTime = m_clock.now() - connection.idleSince;
    return idleTime < maxIdleTime && idleTime < connection.idleLimit && !isUnusable(connection.stream.socket());
}

void ConnectionPool::closeUnusable()
{
    m_checkedAt = m_clock.now();
    const auto isUnusable = [this](const ClientConnectionPtr& it) {
        if (isReusable(*it))
            return false;
        recordUnsolicited(*it);
        return true;
    };
    for (auto& [address, idle] : m_idle)
        recordEvicted(std::erase_if(idle, isUnusable));
    std::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
}

void ConnectionPool::closeLongestIdle()
{
    auto longest = m_idle.end();
    for (auto it = m_idle.begin(); it != m_idle.end(); ++it) {
        if (it->second.empty())
            continue;
        if (longest == m_idle.end() || it->second.front()->idleSince < longest->second.front()->idleSince)
            longest = it;
    }
    longest->second.erase(longest->second.begin());
    recordEvicted(1);
}

void ConnectionPool::recordEvicted(std::size_t count)
{
    m_idleCount -= count;
    m_evicted += count;
}

void ConnectionPool::recordUnsolicited(ClientConnection& connection)
{
    if (hasInput(connection.stream.socket()))
        ++m_unsolicited;
}

bool ConnectionPool::maySend(const HttpCallOptions& options) const
{
    return !options.sendBy || m_clock.bootNow() < *options.sendBy;
}

std::chrono::nanoseconds ConnectionPool::operationTimeout(const HttpCallOptions& options) const
{
    auto out = std::chrono::nanoseconds::max();
    if (options.deadline != SteadyTime::max())
        out = options.deadline - m_clock.now();
    if (options.progressTimeout > std::chrono::nanoseconds(0))
        out = std::min(out, options.progressTimeout);
    return out;
}

bool ConnectionPool::setOperationTimeout(ClientConnection& connection, const HttpCallOptions& options) const
{
    const auto timeout = operationTimeout(options);
    if (timeout <= std::chrono::nanoseconds(0))
        return false;
    connection.deadline.expiresAfter(timeout);
    return true;
}

std::chrono::nanoseconds advertisedIdleLimit(const HttpHeaders& headers)
{
    static constexpr std::string_view parameter = "timeout=";
    static constexpr std::chrono::milliseconds margin { 700 };
    const auto value = headers.find("Keep-Alive");
    const auto start = value ? value->find(parameter) : std::string::npos;
    if (start == std::string::npos)
        return std::chrono::nanoseconds::max();
    unsigned seconds = 0;
    const char* first = value->data() + start + parameter.size();
    const auto [end, ec] = std::from_chars(first, value->data() + value->size(), seconds);
    if (ec != std::errc())
        return std::chrono::nanoseconds::max();
    return std::max<std::chrono::nanoseconds>(std::chrono::seconds(seconds) - margin, std::chrono::nanoseconds(0));
}

void setTcpKeepAliveTimeout(asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout)
{
    const int fd = socket.native_handle();
    const int enabled = 1;
    const int probeSeconds = 1;
    const int probes = std::max(1, static_cast<int>(timeout / std::chrono::seconds(probeSeconds)));
    const auto milliseconds = static_cast<unsigned>(timeout.count());
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof(probeSeconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof(probeSeconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

} // namespace bulrushstack::detail
