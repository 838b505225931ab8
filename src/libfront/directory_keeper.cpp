#include "directory_keeper.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds expireInterval { 200 };
constexpr unsigned expiresPerCleanUp = 25; ///< hints and loads of upstreams that are gone are dropped less often

/// What is left of the time for a change when a call for changes that gets no answer is given up.
constexpr std::chrono::milliseconds callMargin { 1000 };
constexpr std::chrono::milliseconds longestWait { 20'000 };

/// Time in which changes of upstreams are collected into one call. Each instance pays a call for it, so that it grows
/// with their number; the longest is half of the time in which an instance must know that an upstream leaves.
constexpr std::chrono::milliseconds changePausePerInstance { 60 };
constexpr std::chrono::milliseconds shortestChangePause { 400 };
constexpr std::chrono::milliseconds longestChangePause { 1000 };

TableFollowerOptions followerOptions(FrontState& state, std::string table)
{
    // A call that a dead store never answers must end before a change that follows the store's return is due.
    const auto wait = millisecondsOf(state.bounds().stablePeriod + state.bounds().configurationPeriod - callMargin);
    return {
        .table = std::move(table), .wait = std::clamp(wait, callMargin, longestWait), .randomSeed = state.random()
    };
}

} // namespace

class DirectoryKeeper::ConfigurationObserver final : public TableObserver {
public:
    explicit ConfigurationObserver(DirectoryKeeper& keeper)
        : m_keeper(keeper)
    {
    }

    void onSnapshot(const TableSnapshot& snapshot) override { takeRows(snapshot.rows); }
    void onChanges(const TableChanges& changes) override { takeRows(changes.rows); }

    void onStoreLost(const Failure&) override
    {
        m_keeper.m_metrics.noteStoreFailure(m_keeper.m_binding.rows().configurationTable());
    }

    void onStoreRegained() override { }

private:
    void takeRows(const std::vector<Row>& rows)
    {
        for (const auto& row : rows) {
            if (row.version > 0)
                takeRow(row);
        }
    }

    void takeRow(const Row& row)
    {
        auto configuration = m_keeper.m_binding.rows().decodeConfiguration(row);
        if (!configuration) {
            LOG(ERROR) << "event=configuration-unreadable row_version=" << row.version << " error=\""
                       << configuration.error().detail << "\"";
            return;
        }
        if (!*configuration || !m_keeper.m_state.offerConfiguration(*configuration))
            return;
        const auto& taken = **configuration;
        LOG(INFO) << "event=configuration version=" << taken.version() << " row_version=" << row.version
                  << " routes=" << taken.routes().size() << " services=" << taken.services().size();
        m_keeper.m_metrics.setConfigurationVersion(taken.version());
        if (m_keeper.onConfiguration)
            m_keeper.onConfiguration(taken);
    }

    DirectoryKeeper& m_keeper;
};

class DirectoryKeeper::UpstreamObserver final : public TableObserver {
public:
    explicit UpstreamObserver(DirectoryKeeper& keeper)
        : m_keeper(keeper)
    {
    }

    void onSnapshot(const TableSnapshot& snapshot) override
    {
        std::vector<UpstreamEntry> entries;
        for (const auto& row : snapshot.rows) {
            if (auto entry = decode(row))
                entries.push_back(std::move(*entry));
        }
        directory().replaceAll(std::move(entries));
        finish();
        if (!m_isRead && m_keeper.onFirstReading)
            m_keeper.onFirstReading();
        m_isRead = true;
    }

    void onChanges(const TableChanges& changes) override
    {
        std::vector<std::string> removed;
        for (const auto& row : changes.rows) {
            std::erase(removed, row.id.key);
            auto entry = row.version > 0 ? decode(row) : std::nullopt;
            if (!entry)
                removed.push_back(row.id.key);
            else if (const bool isDraining = entry->isDraining; directory().apply(std::move(*entry)))
                LOG(INFO) << "event=upstream-changed upstream=" << row.id.key << " row_version=" << row.version
                          << " draining=" << isDraining;
        }
        for (const auto& id : removed) {
            if (directory().find(id))
                LOG(INFO) << "event=upstream-removed upstream=" << id << " version=" << changes.version
                          << " together=" << removed.size();
        }
        directory().remove(removed);
        finish();
    }

    void onStoreLost(const Failure&) override
    {
        directory().recordStoreLost();
        m_keeper.m_metrics.noteStoreFailure(m_keeper.m_binding.rows().upstreamTable());
    }

    void onStoreRegained() override { directory().recordStoreRegained(); }

private:
    UpstreamDirectory& directory() { return m_keeper.m_state.directory(); }

    std::optional<UpstreamEntry> decode(const Row& row)
    {
        auto entry = m_keeper.m_binding.rows().decodeUpstream(row);
        if (entry)
            return std::move(*entry);
        LOG(WARNING) << "event=upstream-unreadable upstream=" << row.id.key << " row_version=" << row.version
                     << " error=\"" << entry.error().detail << "\"";
        return std::nullopt;
    }

    void finish()
    {
        m_keeper.m_metrics.setUpstreams(directory().all().size());
        m_keeper.m_state.wakeWaiting();
    }

    DirectoryKeeper& m_keeper;
    bool m_isRead = false;
};

DirectoryKeeper::DirectoryKeeper(FrontState& state, FrontBinding& binding, FrontMetrics& metrics)
    : m_state(state)
    , m_binding(binding)
    , m_metrics(metrics)
    , m_configurationObserver(std::make_unique<ConfigurationObserver>(*this))
    , m_upstreamObserver(std::make_unique<UpstreamObserver>(*this))
    , m_configurationFollower(state.context(), state.clock(), binding.feed(),
          followerOptions(state, binding.rows().configurationTable()), *m_configurationObserver)
    , m_upstreamFollower(state.context(), state.clock(), binding.feed(),
          followerOptions(state, binding.rows().upstreamTable()), *m_upstreamObserver)
{
}

void DirectoryKeeper::start()
{
    spawnLogged(m_state.context(), m_configurationFollower.run(), "configuration-follower");
    spawnLogged(m_state.context(), m_upstreamFollower.run(), "upstream-follower");
    spawnLogged(m_state.context(), expire(), "directory-expiry");
}

void DirectoryKeeper::stop()
{
    m_isStopped = true;
    m_configurationFollower.stop();
    m_upstreamFollower.stop();
}

asio::awaitable<void> DirectoryKeeper::expire()
{
    for (unsigned i = 1; !m_isStopped; ++i) {
        co_await sleepFor(m_state.context(), expireInterval);
        const auto pause = changePausePerInstance * static_cast<int>(m_state.instances());
        m_upstreamFollower.setChangePause(
            std::clamp<std::chrono::milliseconds>(pause, shortestChangePause, longestChangePause));
        for (const auto& id : m_state.directory().expire())
            LOG(INFO) << "event=upstream-expired upstream=" << id;
        for (const auto& id : m_state.directory().takeEndedPauses()) {
            LOG(INFO) << "event=upstream-pause-ended upstream=" << id;
            m_state.wakeWaiting();
        }
        const auto statements = m_state.directory().countAnnouncements();
        m_metrics.setStatements(statements.leaving, statements.pausing);
        if (i % expiresPerCleanUp != 0)
            continue;
        m_state.hints().expire();
        m_state.loads().retain(m_state.directory());
    }
}

} // namespace bulrushstack
