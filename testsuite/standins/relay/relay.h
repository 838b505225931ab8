#pragma once

#include "standin.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace bulrushstack::standins {

/// Relays TCP connections to one target and disturbs them on command.
class Relay {
public:
    Relay(boost::asio::io_context& context, Address listen, Address target, StandinState& state);

    /// Begins to accept. Returns the error if the address cannot be bound.
    std::error_code start();

    /// Lets a fault strike all connections that exist now: Mute stops relaying for good in both directions without
    /// closing them, Cut and Drop close them, Delay holds each further part for the duration. Returns how many
    /// connections there were, or an empty optional for another action.
    std::optional<std::size_t> applyToExistingConnections(const std::string& action, std::chrono::milliseconds delay);

private:
    using Tcp = boost::asio::ip::tcp;

    struct RelayedConnection {
        RelayedConnection(Tcp::socket accepted, boost::asio::io_context& context)
            : client(std::move(accepted))
            , target(context)
        {
        }

        void close();

        Tcp::socket client;
        Tcp::socket target;
        std::uint64_t number = 0;
        bool isMuted = false;
        std::chrono::milliseconds delay {};
    };

    using ConnectionPtr = std::shared_ptr<RelayedConnection>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> run(ConnectionPtr connection);
    boost::asio::awaitable<void> forwardBytes(ConnectionPtr connection, Tcp::socket& from, Tcp::socket& to);
    bool applyToNewConnection(RelayedConnection& connection);
    void log(const char* event, const RelayedConnection& connection);

    boost::asio::io_context& m_context;
    Tcp::endpoint m_listen;
    Tcp::endpoint m_target;
    StandinState& m_state;
    Tcp::acceptor m_acceptor;
    std::set<ConnectionPtr> m_connections; ///< muted ones stay until the process ends
    std::uint64_t m_accepted = 0;
};

/// Fault port of the relay. Faults at the point "existing" strike at once; those at "new" are armed for the next
/// connections.
class RelayFaultPort final : public HttpHandler {
public:
    RelayFaultPort(Relay& relay, StandinState& state)
        : m_relay(relay)
        , m_faultPort(state)
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;

private:
    std::optional<HttpResponse> applyToExistingConnections(const HttpRequest& request);

    Relay& m_relay;
    FaultPort m_faultPort;
};

} // namespace bulrushstack::standins
