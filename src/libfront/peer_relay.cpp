#include "peer_relay.h"

#include "bulrushstack/kernel/scope_guard.h"
#include "bulrushstack/kernel/tasks.h"
#include "request_forwarder.h"
#include <algorithm>
#include <charconv>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Instances that are asked in one round.
constexpr std::size_t peersPerRound = 3;
/// Rounds until the request is given up. Between them, another configuration may come into force everywhere.
constexpr unsigned maxRounds = 4;
constexpr std::chrono::milliseconds roundInterval { 100 };
constexpr std::chrono::milliseconds avoidance { 1000 };
constexpr std::chrono::milliseconds connectTimeout { 250 };
constexpr std::chrono::milliseconds tcpKeepAliveTimeout { 2000 };
/// Maximum idle time of a connection that is reused. A request is lost if its peer closes the connection meanwhile.
constexpr std::chrono::seconds maxIdleTime { 2 };
constexpr std::string_view otherConfiguration = "configuration";

unsigned parseAttempts(const std::string& text)
{
    unsigned out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

PeerRelay::PeerRelay(FrontState& state, HttpClient& client, const PeerSource& peers)
    : m_state(state)
    , m_client(client)
    , m_peers(peers)
{
}

std::vector<Peer> PeerRelay::usablePeers()
{
    const auto now = m_state.clock().now();
    std::erase_if(m_avoidedUntil, [now](const auto& it) { return it.second <= now; });
    auto out = m_peers.peers();
    std::erase_if(out, [this](const Peer& it) {
        return it.instance == m_state.instanceId() || m_avoidedUntil.count(it.instance) > 0;
    });
    const std::size_t n = std::min(peersPerRound, out.size());
    for (std::size_t i = 0; i < n; ++i)
        std::swap(out[i], out[i + m_state.random() % (out.size() - i)]);
    out.resize(n);
    return out;
}

void PeerRelay::avoid(const Peer& peer, std::string_view reason)
{
    m_avoidedUntil[peer.instance] = m_state.clock().now() + avoidance;
    LOG(INFO) << "event=relay-peer-avoided peer=" << peer.instance << " reason=\"" << reason << "\"";
}

asio::awaitable<Result<std::unique_ptr<HttpStream>>> PeerRelay::open(HttpRequest request, RelayOptions options)
{
    for (unsigned i = 1;; ++i) {
        auto stream = co_await openAnywhere(request, options);
        const bool isFinal = stream || stream.error().code != Errc::Conflict;
        if (isFinal || i == maxRounds || m_state.clock().now() + roundInterval >= options.deadline)
            co_return stream;
        co_await sleepFor(m_state.context(), roundInterval);
    }
}

/// Offers the request to a few instances, until one takes it. Fails with Errc::Conflict if only their configuration
/// keeps them from it.
asio::awaitable<Result<std::unique_ptr<HttpStream>>> PeerRelay::openAnywhere(HttpRequest request, RelayOptions options)
{
    request.headers.set(relayedAttemptsHeader, std::to_string(options.possibleRuns));
    request.headers.set(relayedConfigurationHeader, std::to_string(m_state.configuration()->version()));
    HttpCallOptions callOptions;
    callOptions.deadline = options.deadline;
    callOptions.isLateResponseRead = true;
    callOptions.maxIdle = maxIdleTime;
    callOptions.connectTimeout = connectTimeout;
    callOptions.tcpKeepAliveTimeout = tcpKeepAliveTimeout;
    callOptions.cancellation = options.cancellation;
    bool isOtherConfiguration = false;
    for (const auto& peer : usablePeers()) {
        auto stream = co_await m_client.open(peer.address, request, callOptions);
        if (!stream) {
            if (options.cancellation->isCancelled() || stream.error().verdict != Verdict::NotRun)
                co_return stream.error();
            m_client.closeIdleConnections(peer.address);
            avoid(peer, stream.error().detail);
            continue;
        }
        // A response of an upstream that happens to have this field never has this status.
        const bool isRefused = (*stream)->status() == relayRefusedStatus;
        const auto reason = isRefused ? (*stream)->headers().find(relayRefusedHeader) : std::nullopt;
        if (!reason)
            co_return std::move(*stream);
        if (*reason == otherConfiguration)
            isOtherConfiguration = true;
        else
            avoid(peer, *reason);
        (void)co_await (*stream)->readAll(); // If the body cannot be read, only the connection is lost.
    }
    auto failure = unavailableFailure("no other instance takes the request");
    if (isOtherConfiguration)
        failure.code = Errc::Conflict;
    co_return failure;
}

bool RelayedRequestHandler::isRelayed(const HttpRequest& request)
{
    return request.headers.find(relayedAttemptsHeader).has_value();
}

/// Returns why this instance does not take the request; empty if it does.
std::string RelayedRequestHandler::refusalReason(const HttpRequest& request) const
{
    const auto& state = m_dependencies.state;
    if (m_isStopped)
        return "shutting-down";
    if (state.reachability().isCutOff())
        return "cut-off";
    const auto version = state.configuration() ? std::to_string(state.configuration()->version()) : std::string();
    if (request.headers.find(relayedConfigurationHeader) != version)
        return std::string(otherConfiguration);
    return {};
}

asio::awaitable<void> RelayedRequestHandler::handle(HttpExchange& exchange)
{
    const auto reason = refusalReason(exchange.request());
    if (!reason.empty()) {
        HttpResponse response { .status = relayRefusedStatus };
        response.headers.set(relayRefusedHeader, reason);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    RelayedRequest relayed { .request = exchange.request() };
    relayed.possibleRuns = parseAttempts(*relayed.request.headers.find(relayedAttemptsHeader));
    relayed.request.headers.remove(relayedAttemptsHeader);
    relayed.request.headers.remove(relayedConfigurationHeader);
    ++*m_activeRequests;
    const ScopeGuard guard(m_activeRequests, [this] { --*m_activeRequests; });
    RequestForwarder forwarder(m_dependencies, exchange, std::move(relayed));
    co_await forwarder.run();
}

} // namespace bulrushstack
