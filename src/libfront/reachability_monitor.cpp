#include "reachability_monitor.h"

#include "bulrushstack/kernel/tasks.h"
#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds probeInterval { 200 };
constexpr std::chrono::milliseconds probeTimeout { 250 };
constexpr std::size_t upstreamsPerProbe = 3;

} // namespace

std::vector<const UpstreamEntry*> upstreamsToProbe(FrontState& state, std::size_t n)
{
    auto out = state.directory().all();
    for (std::size_t i = 0; i < out.size(); ++i)
        std::swap(out[i], out[i + state.random() % (out.size() - i)]);
    std::stable_partition(
        out.begin(), out.end(), [&](const UpstreamEntry* it) { return !state.reachability().hasFailed(it->id); });
    out.resize(std::min(n, out.size()));
    return out;
}

asio::awaitable<bool> probeUpstream(FrontState& state, HttpClient& client, std::string id, Address address)
{
    const bool isListening = co_await client.isListening(address, probeTimeout);
    if (isListening)
        state.reachability().recordConnected();
    else
        state.reachability().recordConnectFailure(id);
    co_return isListening;
}

ReachabilityMonitor::ReachabilityMonitor(FrontState& state, HttpClient& client)
    : m_state(state)
    , m_client(client)
{
}

asio::awaitable<void> ReachabilityMonitor::run()
{
    while (!m_isStopped) {
        co_await sleepFor(m_state.context(), probeInterval);
        logChange();
        if (m_state.reachability().isCutOff())
            probe();
    }
}

void ReachabilityMonitor::logChange()
{
    const bool isCutOff = m_state.reachability().isCutOff();
    if (isCutOff == m_wasCutOff)
        return;
    m_wasCutOff = isCutOff;
    LOG(WARNING) << "event=dependency-" << (isCutOff ? "lost" : "regained")
                 << " dependency=upstreams directory=" << m_state.directory().version();
}

void ReachabilityMonitor::probe()
{
    auto run = [](FrontState& state, HttpClient& client, std::string id, Address address) -> asio::awaitable<void> {
        co_await probeUpstream(state, client, std::move(id), std::move(address));
    };
    for (const auto* it : upstreamsToProbe(m_state, upstreamsPerProbe))
        spawnLogged(m_state.context(), run(m_state, m_client, it->id, it->address), "reachability-probe");
}

} // namespace bulrushstack
