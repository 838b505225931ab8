#include "request_forwarder.h"

#include <algorithm>
#include <glog/logging.h>

// The part of a request's handling that keeps its stream at the software version of the first event, in one response
// and when a caller takes the stream up.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr Milliseconds versionReadTimeout { 300 };
/// Time after a failed read of the row of an upstream in which the request reads no other one.
constexpr Milliseconds versionReadPause { 1000 };
/// Time within which an upstream that has started is listed in the store.
constexpr Milliseconds registrationTime { 2000 };

} // namespace

/// Finds out which service and software version began the stream that the request takes up. Returns false if it may be
/// one of several versions, or if the route no longer leads to the service.
asio::awaitable<bool> RequestForwarder::findStreamVersion()
{
    OriginRequest request { .request = m_request.resumedRequest, .service = m_service->name };
    const auto lookup = co_await m_dependencies.origins.findOrigin(std::move(request), m_deadline);
    const auto& reply = lookup.reply;
    LOG(INFO) << "event=stream-origin request=" << m_request.id << " resumed=" << m_request.resumedRequest
              << " version=" << (reply.origin ? reply.origin->softwareVersion : "unknown")
              << " ambiguous=" << reply.isVersionAmbiguous << " peer=" << lookup.isPeerReached;
    if (!reply.origin) {
        m_streamVersion = co_await findOnlyVersion(lookup);
        co_return m_streamVersion.has_value();
    }
    const bool isConfirmed = co_await confirmOrigin(*reply.origin);
    if (!isConfirmed)
        co_return false;
    const auto& services = m_route->services;
    const bool isOnRoute = std::any_of(services.begin(), services.end(),
        [&](const WeightedService& it) { return it.service == reply.origin->service; });
    const auto* service = isOnRoute ? m_configuration->findService(reply.origin->service) : nullptr;
    if (!service)
        co_return false;
    m_service = service;
    m_streamVersion = reply.origin->softwareVersion;
    co_return true;
}

/// Returns the version at which a stream of unknown origin goes on: the only one that its service had lately. This
/// instance may not have read of another one yet, for example since it was suspended. While the store does not respond,
/// it must reach another instance, since it may be the only one that is cut off.
asio::awaitable<std::optional<std::string>> RequestForwarder::findOnlyVersion(OriginLookup lookup)
{
    if (lookup.reply.isVersionAmbiguous)
        co_return std::nullopt;
    const auto deadline = std::min(m_deadline, m_state.clock().now() + versionReadTimeout);
    const auto versions = co_await m_dependencies.upstreams.readVersions(m_service->name, deadline);
    if (!versions && lookup.isPeerReached)
        co_return m_state.directory().onlyVersion(m_service->name);
    const bool isOnlyOne = versions && versions->size() == 1;
    if (!isOnlyOne)
        LOG(INFO) << "event=stream-version-unknown request=" << m_request.id << " service=" << m_service->name
                  << " versions=" << (versions ? std::to_string(versions->size()) : "unread")
                  << " directory=" << m_state.directory().version();
    co_return isOnlyOne ? std::optional(*versions->begin()) : std::nullopt;
}

/// Keeps the software version of the first event for the rest of the stream and for later requests that take it up.
void RequestForwarder::recordStreamOrigin(const Attempt& attempt)
{
    if (m_streamVersion)
        return;
    m_streamVersion = attempt.softwareVersion;
    m_beganAt = m_state.clock().now();
    const auto limit = provenConnectionLimit();
    m_isOriginProven = limit && attempt.stream->connection().establishedAt < *limit;
    m_origin = StreamOrigin { .request = m_request.id,
        .service = m_service->name,
        .softwareVersion = attempt.softwareVersion,
        .upstream = attempt.upstreamId,
        .startedAt = attempt.startedAt };
    if (m_route->isResumable)
        m_dependencies.origins.recordOrigin(*m_origin);
}

/// Returns whether the response may go on at another upstream: its stream must have begun at a known software version.
asio::awaitable<bool> RequestForwarder::mayGoOn()
{
    if (!m_isStreaming || !m_origin || m_isOriginProven)
        co_return true;
    auto origin = *m_origin;
    origin.age = millisecondsOf(m_state.clock().now() - m_beganAt);
    co_return co_await confirmOrigin(std::move(origin));
}

/// Returns whether a stream began at the software version that its origin names. If the directory may not contain the
/// last changes before the first event, for example since this instance was suspended, the upstream's row is read. The
/// version is unknown while the store does not respond.
asio::awaitable<bool> RequestForwarder::confirmOrigin(StreamOrigin origin)
{
    const auto now = m_state.clock().now();
    const auto& directory = m_state.directory();
    const auto currentAsOf = directory.currentAsOf();
    const bool isCurrent = currentAsOf && *currentAsOf >= now - origin.age;
    bool isDoubtful = isVersionDoubtful(origin, now, directory);
    if (!isDoubtful && !isCurrent)
        isDoubtful = !co_await confirmOriginByRow(origin);
    if (isDoubtful)
        LOG(INFO) << "event=stream-origin-doubtful request=" << m_request.id << " stream=" << origin.request
                  << " upstream=" << origin.upstream << " version=" << origin.softwareVersion
                  << " started_at=" << origin.startedAt << " age_ms=" << origin.age.count()
                  << " directory=" << directory.version();
    co_return !isDoubtful;
}

/// Returns whether the row of the upstream agrees with the origin, or is gone.
asio::awaitable<bool> RequestForwarder::confirmOriginByRow(StreamOrigin origin)
{
    if (m_state.directory().isStoreLost())
        co_return false;
    const auto deadline = std::min(m_deadline, m_state.clock().now() + versionReadTimeout);
    const auto row = co_await m_dependencies.upstreams.readUpstream(origin.upstream, deadline);
    if (!row)
        co_return false;
    const auto& entry = *row;
    co_return !entry || entry->startedAt == origin.startedAt || entry->softwareVersion == origin.softwareVersion;
}

/// Returns whether the upstream's row must be read before a stream goes on there.
bool RequestForwarder::mustConfirmVersion(const std::string& upstream) const
{
    return m_streamVersion && m_confirmedUpstreams.count(upstream) == 0;
}

/// Returns whether the upstream still has the software version of the stream. The directory may be outdated, for
/// example after this instance was suspended or while it is cut off from the store, and the upstream may have been
/// restarted with another version under the same id.
asio::awaitable<bool> RequestForwarder::confirmVersion(std::string upstream)
{
    const auto now = m_state.clock().now();
    if (m_storeUnreadableUntil > now)
        co_return confirmVersionByConnection(upstream);
    const auto deadline = std::min(m_deadline, now + versionReadTimeout);
    const auto row = co_await m_dependencies.upstreams.readUpstream(upstream, deadline);
    if (!row) {
        m_storeUnreadableUntil = m_state.clock().now() + versionReadPause;
        co_return confirmVersionByConnection(upstream);
    }
    const bool isConfirmed = *row && (*row)->softwareVersion == *m_streamVersion;
    if (isConfirmed)
        m_confirmedUpstreams.insert(upstream);
    else
        m_triedUpstreams.insert(upstream);
    co_return isConfirmed;
}

/// The same while the store does not respond: the process at the other end of a connection that is older than the last
/// read of the directory is the one that the directory lists.
bool RequestForwarder::confirmVersionByConnection(const std::string& upstream)
{
    const auto limit = provenConnectionLimit();
    const auto* entry = m_state.directory().find(upstream);
    const bool isConfirmed
        = limit && entry && m_dependencies.client.hasIdleConnection(entry->address, *limit, m_request.id);
    if (isConfirmed)
        m_establishedBefore = limit;
    else
        m_triedUpstreams.insert(upstream);
    LOG(INFO) << "event=stream-version-by-connection request=" << m_request.id << " upstream=" << upstream
              << " confirmed=" << isConfirmed << " directory=" << m_state.directory().version();
    return isConfirmed;
}

/// Returns the time before which a connection must have been established so that it leads to the process that the
/// directory lists; empty if the directory has not been read yet.
std::optional<SteadyTime> RequestForwarder::provenConnectionLimit() const
{
    const auto currentAsOf = m_state.directory().currentAsOf();
    return currentAsOf ? std::optional(*currentAsOf - registrationTime) : std::nullopt;
}

} // namespace bulrushstack
