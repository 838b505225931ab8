#include "relay.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <unistd.h>

namespace bulrushstack::standins {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

asio::ip::tcp::endpoint toEndpoint(const Address& address)
{
    return { asio::ip::make_address(address.host), address.port };
}

} // namespace

void Relay::RelayedConnection::close()
{
    boost::system::error_code ec;
    client.close(ec);
    target.close(ec);
}

Relay::Relay(asio::io_context& context, Address listen, Address target, StandinState& state)
    : m_context(context)
    , m_listen(toEndpoint(listen))
    , m_target(toEndpoint(target))
    , m_state(state)
    , m_acceptor(context)
{
}

std::error_code Relay::start()
{
    boost::system::error_code ec;
    m_acceptor.open(m_listen.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(m_listen, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return ec;
}

std::optional<std::size_t> Relay::applyToExistingConnections(const std::string& action, std::chrono::milliseconds delay)
{
    if (action != "mute" && action != "cut" && action != "drop" && action != "delay")
        return std::nullopt;
    std::size_t n = 0;
    for (const auto& it : m_connections) {
        if (it->isMuted)
            continue;
        ++n;
        log(action.c_str(), *it);
        if (action == "mute")
            it->isMuted = true;
        else if (action == "delay")
            it->delay = delay;
        else
            it->close();
    }
    return n;
}

asio::awaitable<void> Relay::acceptLoop()
{
    for (;;) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        auto connection = std::make_shared<RelayedConnection>(std::move(socket), m_context);
        connection->number = ++m_accepted;
        log("accept", *connection);
        if (!applyToNewConnection(*connection))
            continue;
        m_connections.insert(connection);
        if (!connection->isMuted)
            asio::co_spawn(m_context, run(std::move(connection)), asio::detached);
    }
}

/// Applies a fault that is armed for new connections. Returns whether the connection stays open.
bool Relay::applyToNewConnection(RelayedConnection& connection)
{
    const auto fault = m_state.consumeFault("new");
    if (!fault)
        return true;
    if (fault->action == FaultAction::Crash)
        ::_exit(3);
    if (fault->action == FaultAction::Delay) {
        connection.delay = fault->delay;
        log("delay", connection);
        return true;
    }
    connection.isMuted = fault->action == FaultAction::Mute;
    log(connection.isMuted ? "mute" : "cut", connection);
    return connection.isMuted;
}

asio::awaitable<void> Relay::run(ConnectionPtr connection)
{
    auto [ec] = co_await connection->target.async_connect(m_target, asTuple);
    if (ec) {
        connection->close();
        m_connections.erase(connection);
        co_return;
    }
    boost::system::error_code ignored;
    connection->client.set_option(Tcp::no_delay(true), ignored);
    connection->target.set_option(Tcp::no_delay(true), ignored);
    asio::co_spawn(m_context, forwardBytes(connection, connection->client, connection->target), asio::detached);
    co_await forwardBytes(connection, connection->target, connection->client);
}

asio::awaitable<void> Relay::forwardBytes(ConnectionPtr connection, Tcp::socket& from, Tcp::socket& to)
{
    std::array<char, 16384> buf {};
    boost::system::error_code ec;
    while (!ec) {
        std::size_t n = 0;
        std::tie(ec, n) = co_await from.async_read_some(asio::buffer(buf), asTuple);
        if (!ec && !connection->isMuted && connection->delay.count() > 0) {
            asio::steady_timer timer(m_context, connection->delay);
            co_await timer.async_wait(asTuple);
        }
        // A muted connection stays open on both sides, even if one side closes it or fails.
        if (connection->isMuted)
            co_return;
        if (!ec) {
            const auto part = asio::buffer(buf.data(), n);
            std::tie(ec, n) = co_await asio::async_write(to, part, asTuple);
        }
    }
    if (ec == asio::error::eof && to.is_open()) {
        // Half-close: the other direction may still carry data, and closes the connection when it ends.
        to.shutdown(Tcp::socket::shutdown_send, ec);
        if (!ec)
            co_return;
    }
    connection->close();
    m_connections.erase(connection);
}

void Relay::log(const char* event, const RelayedConnection& connection)
{
    m_state.log({ { "event", event }, { "connection", connection.number } });
}

asio::awaitable<void> RelayFaultPort::handle(HttpExchange& exchange)
{
    auto response = applyToExistingConnections(exchange.request());
    if (response)
        co_await exchange.respond(std::move(*response));
    else
        co_await m_faultPort.handle(exchange);
}

std::optional<HttpResponse> RelayFaultPort::applyToExistingConnections(const HttpRequest& request)
{
    if (request.method != "POST" || request.path() != "/faults")
        return std::nullopt;
    const auto document = json::parse(request.body, nullptr, false);
    if (!document.is_object() || document.value("point", json()) != "existing")
        return std::nullopt;
    const auto action = document.value("action", json());
    const auto delay = document.value("delay_ms", json(0U));
    std::optional<std::size_t> n;
    if (action.is_string() && delay.is_number_unsigned())
        n = m_relay.applyToExistingConnections(action, std::chrono::milliseconds(delay.get<unsigned>()));
    if (!n)
        return jsonResponse(400, R"({"error":"existing connections take mute, cut, drop or delay"})");
    return jsonResponse(200, json({ { "connections", *n } }).dump());
}

} // namespace bulrushstack::standins
