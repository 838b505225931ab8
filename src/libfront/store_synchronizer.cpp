#include "store_synchronizer.h"

#include "bulrushstack/kernel/tasks.h"
#include "version_history.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds noWait { 0 };
constexpr std::chrono::milliseconds maintenanceInterval { 200 };
/// Hints and loads of upstreams that are gone are removed only once in this number of maintenance rounds.
constexpr unsigned maintenanceRoundsPerCleanup = 25;
/// Time after the longest timeout of a route after which a request has certainly ended.
constexpr std::chrono::minutes stuckRequestMargin { 1 };

/// A long poll that gets no response times out this long before the change that it waits for must be applied.
constexpr std::chrono::milliseconds longPollMargin { 1000 };
constexpr std::chrono::milliseconds maxLongPollTime { 20'000 };

/// Time in which changes of upstreams are collected and then read by one call. Each instance makes such calls, so the
/// delay grows with the number of instances. Its maximum is half of the time within which an instance must know that an
/// upstream is shutting down.
constexpr std::chrono::milliseconds changeBatchDelayPerInstance { 60 };
constexpr std::chrono::milliseconds minChangeBatchDelay { 400 };
constexpr std::chrono::milliseconds maxChangeBatchDelay { 1000 };

/// Times of a reader, whose reads are those of many instances. An answer of the store at least every second proves to
/// them that the reader is not cut off.
constexpr std::chrono::milliseconds readerLongPollTime { 500 };
constexpr std::chrono::milliseconds readerChangeBatchDelay { 700 };
constexpr std::chrono::milliseconds maxPollTimeOfReaders { 2000 };
/// The reader has already collected the changes that it passes on.
constexpr std::chrono::milliseconds relayedChangeBatchDelay { 20 };
/// Maximum time that a change takes from a reader to an instance that waits for it.
constexpr std::chrono::milliseconds relayTravelTime { 100 };

/// A long poll that gets no response from a failed store must end before a change that follows the store's recovery is
/// due.
std::chrono::milliseconds longPollTime(const FrontState& state)
{
    const auto& limits = state.platformLimits();
    const auto time = millisecondsOf(limits.stablePeriod + limits.configurationPeriod - longPollMargin);
    return std::clamp(time, longPollMargin, maxLongPollTime);
}

TableFollowerOptions followerOptions(FrontState& state, std::string table)
{
    return { .table = std::move(table), .longPollTime = longPollTime(state), .randomSeed = state.random() };
}

} // namespace

class StoreSynchronizer::ConfigurationObserver final : public TableObserver {
public:
    explicit ConfigurationObserver(StoreSynchronizer& synchronizer)
        : m_synchronizer(synchronizer)
    {
    }

    void onSnapshot(const TableSnapshot& snapshot) override
    {
        m_synchronizer.m_relay.tables().recordSnapshot(table(), snapshot);
        applyRows(snapshot.rows);
    }

    void onChanges(const TableChanges& changes) override
    {
        for (const auto& row : changes.rows)
            m_synchronizer.m_relay.tables().recordRow(table(), row, changes.version);
        applyRows(changes.rows);
    }

    void onStoreLost(const Failure&) override { m_synchronizer.m_metrics.recordStoreFailure(table()); }

    void onRead(SteadyTime) override { }
    void onStoreRegained() override { }
    void onOutageReported() override { }

private:
    std::string table() const { return m_synchronizer.m_binding.rowFormat().configurationTable(); }

    void applyRows(const std::vector<Row>& rows)
    {
        for (const auto& row : rows) {
            if (row.version > 0)
                applyRow(row);
        }
    }

    void applyRow(const Row& row)
    {
        auto configuration = m_synchronizer.m_binding.rowFormat().decodeConfiguration(row);
        if (!configuration) {
            LOG(ERROR) << "event=configuration-unreadable row_version=" << row.version << " error=\""
                       << configuration.error().detail << "\"";
            return;
        }
        if (!*configuration || !m_synchronizer.m_state.updateConfiguration(*configuration))
            return;
        const auto& applied = **configuration;
        LOG(INFO) << "event=configuration version=" << applied.version() << " row_version=" << row.version
                  << " routes=" << applied.routes().size() << " services=" << applied.services().size();
        m_synchronizer.m_metrics.setConfigurationVersion(applied.version());
        if (m_synchronizer.onConfigurationApplied)
            m_synchronizer.onConfigurationApplied(applied);
    }

    StoreSynchronizer& m_synchronizer;
};

class StoreSynchronizer::UpstreamObserver final : public TableObserver {
public:
    explicit UpstreamObserver(StoreSynchronizer& synchronizer)
        : m_synchronizer(synchronizer)
    {
    }

    void onSnapshot(const TableSnapshot& snapshot) override
    {
        m_synchronizer.m_relay.tables().recordSnapshot(table(), snapshot);
        std::vector<UpstreamEntry> entries;
        for (const auto& row : snapshot.rows) {
            if (auto entry = decode(row))
                entries.push_back(std::move(*entry));
        }
        const auto restorations = restorationsOf(snapshot.version);
        if (m_hasSnapshot && restorations != m_restorations)
            directory().replaceAllFromCopy(std::move(entries));
        else
            directory().replaceAll(std::move(entries));
        m_restorations = restorations;
        onDirectoryChanged();
        if (!m_hasSnapshot && m_synchronizer.onUpstreamsLoaded)
            m_synchronizer.onUpstreamsLoaded();
        m_hasSnapshot = true;
    }

    void onChanges(const TableChanges& changes) override
    {
        std::vector<std::string> removed;
        auto& relay = m_synchronizer.m_relay.tables();
        for (const auto& row : changes.rows) {
            std::erase(removed, row.id.key);
            auto entry = row.version > 0 ? decode(row) : std::nullopt;
            if (!entry) {
                removed.push_back(row.id.key);
                relay.recordRow(table(), { .id = row.id }, changes.version);
            } else if (const bool isDraining = entry->isDraining; directory().apply(std::move(*entry))) {
                relay.recordRow(table(), row, changes.version);
                LOG(INFO) << "event=upstream-changed upstream=" << row.id.key << " row_version=" << row.version
                          << " draining=" << isDraining;
            }
        }
        relay.recordVersion(table(), changes.version);
        for (const auto& id : removed) {
            if (directory().find(id))
                LOG(INFO) << "event=upstream-removed upstream=" << id << " version=" << changes.version
                          << " together=" << removed.size();
        }
        directory().remove(removed);
        onDirectoryChanged();
    }

    void onRead(SteadyTime startedAt) override
    {
        const bool isRelayed = m_synchronizer.m_relay.feed().isRelayed();
        directory().recordRead(isRelayed ? startedAt - maxRelayAge : startedAt);
    }

    void onStoreLost(const Failure&) override
    {
        directory().recordStoreLost();
        m_synchronizer.m_relay.tables().recordStoreLost();
        m_synchronizer.m_metrics.recordStoreFailure(table());
    }

    void onStoreRegained() override
    {
        directory().recordStoreRegained();
        m_synchronizer.m_relay.tables().recordStoreRegained();
    }

    void onOutageReported() override
    {
        directory().recordStoreLost();
        directory().recordStoreRegained();
    }

private:
    std::string table() const { return m_synchronizer.m_binding.rowFormat().upstreamTable(); }
    UpstreamDirectory& directory() { return m_synchronizer.m_state.directory(); }

    std::optional<UpstreamEntry> decode(const Row& row)
    {
        auto entry = m_synchronizer.m_binding.rowFormat().decodeUpstream(row);
        if (entry)
            return std::move(*entry);
        LOG(WARNING) << "event=upstream-unreadable upstream=" << row.id.key << " row_version=" << row.version
                     << " error=\"" << entry.error().detail << "\"";
        return std::nullopt;
    }

    void onDirectoryChanged()
    {
        m_synchronizer.m_metrics.setUpstreamCount(directory().all().size());
        m_synchronizer.m_state.wakeWaitingRequests();
    }

    StoreSynchronizer& m_synchronizer;
    bool m_hasSnapshot = false;
    std::uint64_t m_restorations = 0; ///< of the store at the last snapshot
};

StoreSynchronizer::StoreSynchronizer(FrontState& state, FrontBinding& binding, FrontMetrics& metrics, StoreRelay& relay)
    : m_state(state)
    , m_binding(binding)
    , m_metrics(metrics)
    , m_relay(relay)
    , m_configurationObserver(std::make_unique<ConfigurationObserver>(*this))
    , m_upstreamObserver(std::make_unique<UpstreamObserver>(*this))
    , m_configurationFollower(state.context(), state.clock(), relay.feed(),
          followerOptions(state, binding.rowFormat().configurationTable()), *m_configurationObserver)
    , m_upstreamFollower(state.context(), state.clock(), relay.feed(),
          followerOptions(state, binding.rowFormat().upstreamTable()), *m_upstreamObserver)
{
}

asio::awaitable<Result<std::optional<UpstreamEntry>>> StoreSynchronizer::readUpstream(
    std::string id, SteadyTime deadline)
{
    const RowId row { .table = m_binding.rowFormat().upstreamTable(), .key = std::move(id) };
    const auto found = co_await m_binding.tableService().read(row, deadline);
    if (!found)
        co_return found.error();
    if (!*found)
        co_return std::optional<UpstreamEntry>();
    auto entry = m_binding.rowFormat().decodeUpstream(**found);
    co_return entry ? std::optional(std::move(*entry)) : std::nullopt;
}

asio::awaitable<Result<std::set<std::string>>> StoreSynchronizer::readVersions(std::string service, SteadyTime deadline)
{
    const auto& format = m_binding.rowFormat();
    const TableReadTimeouts timeouts { .responseStart = millisecondsOf(deadline - m_state.clock().now()) };
    const auto rows = co_await readNewRows(format.upstreamTable(), timeouts);
    if (!rows)
        co_return rows.error();
    const auto history = co_await m_binding.tableService().read(versionHistoryRowId, deadline);
    if (!history)
        co_return history.error();
    auto out = m_state.directory().recentVersions()[service];
    if (*history)
        out.merge(decodeVersions((*history)->value)[service]);
    for (const auto& row : *rows) {
        const auto entry = row.version > 0 ? format.decodeUpstream(row) : Failure { .code = Errc::NotFound };
        if (entry && entry->service == service)
            out.insert(entry->softwareVersion);
    }
    co_return out;
}

/// Returns the rows that changed since the directory was read, or all rows if the store no longer has the history.
asio::awaitable<Result<std::vector<Row>>> StoreSynchronizer::readNewRows(std::string table, TableReadTimeouts timeouts)
{
    auto changes = co_await m_binding.tableFeed().changes(table, m_upstreamFollower.version(), noWait, timeouts);
    if (changes)
        co_return std::move(changes->rows);
    if (changes.error().code != Errc::NotFound)
        co_return changes.error();
    auto snapshot = co_await m_binding.tableFeed().snapshot(std::move(table), timeouts);
    if (!snapshot)
        co_return snapshot.error();
    co_return std::move(snapshot->rows);
}

void StoreSynchronizer::start()
{
    spawnLogged(m_state.context(), m_configurationFollower.run(), "configuration-follower");
    spawnLogged(m_state.context(), m_upstreamFollower.run(), "upstream-follower");
    spawnLogged(m_state.context(), runMaintenance(), "directory-expiry");
}

void StoreSynchronizer::stop()
{
    m_isStopped = true;
    m_configurationFollower.stop();
    m_upstreamFollower.stop();
}

/// Adapts how often the tables are read to where they are read from and to how many instances do the same.
void StoreSynchronizer::adaptPolling()
{
    auto& tables = m_relay.tables();
    const bool isReader = tables.isActive();
    const auto delay = changeBatchDelayPerInstance * static_cast<int>(m_state.instanceCount());
    const auto storeDelay = std::clamp<std::chrono::milliseconds>(delay, minChangeBatchDelay, maxChangeBatchDelay);
    m_upstreamFollower.setChangeBatchDelay(isReader ? readerChangeBatchDelay
            : m_relay.feed().isRelayed()            ? relayedChangeBatchDelay
                                                    : storeDelay);
    const auto changeDelay = isReader ? readerChangeBatchDelay
        : m_relay.feed().isRelayed()  ? readerChangeBatchDelay + relayTravelTime
                                      : storeDelay;
    m_state.directory().setSimultaneousLossGrace(
        simultaneousLossGrace(m_state.platformLimits().drainPeriod, changeDelay));
    // A short wait lets an instance that becomes a reader read the tables anew soon.
    const bool maybeReader = m_state.instanceCount() >= m_relay.readerChoice().minInstances;
    const auto pollTime = maybeReader ? std::min(longPollTime(m_state), maxPollTimeOfReaders) : longPollTime(m_state);
    m_configurationFollower.setLongPollTime(pollTime);
    m_upstreamFollower.setLongPollTime(isReader ? readerLongPollTime : pollTime);
    const auto& format = m_binding.rowFormat();
    if (isReader && !tables.hasContent(format.upstreamTable()))
        m_upstreamFollower.resynchronize();
    if (isReader && !tables.hasContent(format.configurationTable()))
        m_configurationFollower.resynchronize();
}

/// Drops requests whose end was not recorded although it must have come, so that no fault in their bookkeeping makes an
/// upstream look overloaded for ever.
void StoreSynchronizer::dropStuckRequests()
{
    if (!m_state.configuration())
        return;
    Milliseconds longest {};
    for (const auto& it : m_state.configuration()->routes())
        longest = std::max(longest, it.timeout);
    const auto n = m_state.upstreamLoads().dropStuck(longest + stuckRequestMargin);
    if (n == 0)
        return;
    m_metrics.recordStuckRequests(n);
    LOG(ERROR) << "event=stuck-requests-dropped requests=" << n;
}

asio::awaitable<void> StoreSynchronizer::runMaintenance()
{
    for (unsigned i = 1; !m_isStopped; ++i) {
        co_await sleepFor(m_state.context(), maintenanceInterval);
        adaptPolling();
        for (const auto& id : m_state.directory().expire())
            LOG(INFO) << "event=upstream-expired upstream=" << id;
        for (const auto& id : m_state.directory().takeEndedPauses()) {
            LOG(INFO) << "event=upstream-pause-ended upstream=" << id;
            m_state.wakeWaitingRequests();
        }
        m_metrics.setUpstreamAnnouncements(m_state.directory().countAnnouncements());
        m_metrics.setRelayStatus(m_relay.status());
        if (i % maintenanceRoundsPerCleanup != 0)
            continue;
        m_state.residencyHints().expire();
        dropStuckRequests();
        m_state.upstreamLoads().retain(m_state.directory());
        m_state.upstreamPace().retain(m_state.directory());
    }
}

} // namespace bulrushstack
