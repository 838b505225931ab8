#pragma once

#include "bulrushstack/kernel/clock.h"
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
    Address address; ///< address on which this instance listens for peers and at which they reach it
    std::string instanceId;
    /// Higher in each new process with the same instance id, unless the wall clock was set back in between; see
    /// PeerMesh::raiseIncarnation().
    std::uint64_t incarnation = 0;
    std::vector<std::string> keys; ///< shared secrets: the first one signs sent messages, all are accepted
    std::size_t messageLimit = 1024 * 1024; ///< maximum size of a received message, in bytes
};

/// Messages and bytes that the mesh received, sent and rejected since its start.
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

/// Request-reply messaging between instances: CBOR messages over HTTP, authenticated with HMAC-SHA256.
///
/// Every message must be idempotent: a request that timed out may have been handled, and one whose connection was
/// closed is sent a second time. All methods must be called on the thread of the io_context.
class PeerMesh {
public:
    /// Handles an authenticated request of a peer and returns the body of the reply. The request is a map; "type"
    /// selects the handler, and the mesh sets "from" (instance id) and "incarnation" of the sender. A JSON exception is
    /// reported to the peer as a malformed request.
    using Handler = std::function<nlohmann::json(const nlohmann::json& request)>;

    PeerMesh(boost::asio::io_context& context, const Clock& clock, PeerMeshOptions options);
    ~PeerMesh();

    PeerMesh(const PeerMesh&) = delete;
    PeerMesh& operator=(const PeerMesh&) = delete;

    /// Registers the handler for a message type. Must be called before the io_context runs.
    void handle(std::string type, Handler handler);

    /// Starts listening for peers. Returns an error if the address cannot be bound.
    std::error_code start();

    /// Stops listening, finishes replies in progress and closes all connections. Pending requests fail with
    /// Errc::Cancelled.
    boost::asio::awaitable<void> stop();

    /// Sends a request and returns the reply, with "from" and "incarnation" of the sender added. Fails with NotRun if
    /// no connection can be opened. Every other failure, such as Errc::Timeout, Errc::Unauthenticated or
    /// Errc::Malformed, has the verdict MayHaveRun, since the peer may have handled the request.
    boost::asio::awaitable<Result<nlohmann::json>> request(
        Address peer, nlohmann::json message, std::chrono::nanoseconds timeout);

    /// Raises the incarnation under which messages are sent to at least the given one. Needed when other instances
    /// know a higher incarnation of an earlier process of this instance and ignore this one as outdated.
    void raiseIncarnation(std::uint64_t minimum);

    /// Returns the incarnation under which messages are sent.
    std::uint64_t incarnation() const;

    PeerMeshCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bulrushstack
