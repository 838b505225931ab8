#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/kernel/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bulrushstack {

struct PeerMeshOptions {
    Address address; ///< where this instance listens for peers
    std::string instanceId;
    std::uint64_t incarnation = 0;
    std::vector<std::string> keys; ///< shared secrets; the first one signs, all are accepted
    std::size_t messageLimit = 1024 * 1024; ///< bytes
};

/// Counts of what the mesh received and sent since its start.
struct PeerMeshCounters {
    std::uint64_t requestsReceived = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t rejectedMalformed = 0;
    std::uint64_t rejectedUnauthenticated = 0;
    std::uint64_t rejectedReplayed = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;

    friend bool operator==(const PeerMeshCounters&, const PeerMeshCounters&) = default;
};

/// Request-reply messages between instances, as CBOR over nng in an authenticated envelope.
///
/// Every message must be idempotent. All methods run on the thread of the io_context.
class PeerMesh {
public:
    /// Answers a request of a peer. The message is an authenticated map with a text field "type" and "from".
    using Handler = std::function<nlohmann::json(const nlohmann::json& request)>;

    PeerMesh(boost::asio::io_context& context, PeerMeshOptions options);
    ~PeerMesh();

    PeerMesh(const PeerMesh&) = delete;
    PeerMesh& operator=(const PeerMesh&) = delete;

    /// Registers the handler for a message type; call before the io_context runs.
    void handle(std::string type, Handler handler);

    /// Listens for peers. Returns the error if the address cannot be bound.
    std::error_code start();

    /// Closes the sockets; pending requests fail with Errc::Cancelled.
    void stop();

    /// Sends a request and returns the reply. Fails with Errc::Timeout, Errc::Unauthenticated or Errc::Malformed; a
    /// failure has the verdict MayHaveRun, since the peer may have handled the request.
    boost::asio::awaitable<Result<nlohmann::json>> request(
        Address peer, nlohmann::json message, std::chrono::nanoseconds timeout);

    /// Closes the connection to a peer that is not expected to return.
    void disconnect(const Address& peer);

    PeerMeshCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bulrushstack
