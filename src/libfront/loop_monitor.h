#pragma once

#include "front_metrics.h"
#include "front_state.h"

namespace bulrushstack {

/// Measures how late the event loop runs its timers. A late loop reads responses after their deadline, which is then
/// logged as a dependency that does not respond. The log event `loop-late` distinguishes the two cases.
class LoopMonitor {
public:
    LoopMonitor(FrontState& state, FrontMetrics& metrics);

    /// Runs until stop() is called.
    boost::asio::awaitable<void> run();

    void stop() { m_isStopped = true; }

private:
    FrontState& m_state;
    FrontMetrics& m_metrics;
    bool m_isStopped = false;
};

} // namespace bulrushstack
