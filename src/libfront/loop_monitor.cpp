#include "loop_monitor.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

namespace bulrushstack {

namespace {

constexpr std::chrono::milliseconds probeInterval { 100 };

/// Minimum delay that is logged. An ordinary CPU quota alone causes delays of a tenth of a second.
constexpr std::chrono::milliseconds loggedDelayThreshold { 200 };

} // namespace

LoopMonitor::LoopMonitor(FrontState& state, FrontMetrics& metrics)
    : m_state(state)
    , m_metrics(metrics)
{
}

boost::asio::awaitable<void> LoopMonitor::run()
{
    while (!m_isStopped) {
        const auto due = m_state.clock().now() + probeInterval;
        co_await sleepFor(m_state.context(), probeInterval);
        const auto delay = m_state.clock().now() - due;
        m_metrics.recordLoopDelay(delay);
        if (delay >= loggedDelayThreshold)
            LOG(WARNING) << "event=loop-late late_ms=" << millisecondsOf(delay).count();
    }
}

} // namespace bulrushstack
