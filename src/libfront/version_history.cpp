#include "version_history.h"

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr const char* servicesField = "services";

} // namespace

nlohmann::json encodeVersions(const SoftwareVersions& versions)
{
    auto services = nlohmann::json::object();
    for (const auto& [service, names] : versions)
        services[service] = names;
    return { { servicesField, std::move(services) } };
}

SoftwareVersions decodeVersions(const nlohmann::json& document)
{
    SoftwareVersions out;
    if (!document.is_object() || !document.contains(servicesField))
        return out;
    for (const auto& [service, names] : document.at(servicesField).items()) {
        for (const auto& it : names) {
            if (it.is_string())
                out[service].insert(it.get<std::string>());
        }
    }
    return out;
}

VersionHistory::VersionHistory(FrontState& state, FrontBinding& binding, const LeaseManager& leaseManager)
    : m_state(state)
    , m_row(state, binding, leaseManager, versionHistoryRowId)
{
}

asio::awaitable<void> VersionHistory::saveIfChanged()
{
    if (!m_row.isHolder()) {
        m_isMerged = false;
        co_return;
    }
    if (!m_isMerged && !co_await mergeRow())
        co_return;
    auto versions = m_state.directory().recentVersions();
    const bool isLost = m_row.isStoreRestored() && !versions.empty();
    if (versions == m_saved && !isLost) {
        m_row.recordNothingToWrite();
        co_return;
    }
    const auto saved = co_await m_row.write(encodeVersions(versions));
    if (saved)
        m_saved = std::move(versions);
}

asio::awaitable<bool> VersionHistory::mergeRow()
{
    const auto row = co_await m_row.read();
    if (!row)
        co_return false;
    m_saved = *row ? decodeVersions((*row)->value) : SoftwareVersions();
    m_state.directory().recordVersions(m_saved);
    m_isMerged = true;
    co_return true;
}

} // namespace bulrushstack
