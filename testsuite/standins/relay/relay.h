#pragma once

#include "standin.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace bulrushstack::standins {

/// TCP relay to one target that injects connection faults on request.
class Relay {
public:
    Relay(boost::asio::io_context& context, Address listen, Address target, StandinState& state);

    /// Starts to accept connections. Returns the error if the address cannot be bound.
    std::error_code start();

    /// Applies a fault to all current connections that are not muted: "mute" permanently stops forwarding in both
    /// directions but keeps the connections open, "cut" and "drop" close them, "delay" delays every further chunk of
    /// data by the duration. Returns the number of affected connections, or an empty optional for any other action.
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
        std::uint64_t number = 0; ///< position in the order of acceptance, counted from 1
        bool isMuted = false; ///< forwards nothing and stays open
        std::chrono::milliseconds delay {}; ///< added before each chunk of data is forwarded
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
    std::set<ConnectionPtr> m_connections; ///< open connections; muted ones remain until the process exits
    std::uint64_t m_accepted = 0;
};

/// Control port of the relay. A fault at the point "existing" is applied immediately to all current connections; a
/// fault at "new" is armed for the next connections.
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
