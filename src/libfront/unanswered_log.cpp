#include "unanswered_log.h"

#include <glog/logging.h>

namespace bulrushstack {

UnansweredLog::UnansweredLog(
    std::string port, const FrontState& state, const RequestFormat& format, FrontMetrics& metrics)
    : m_port(std::move(port))
    , m_state(state)
    , m_format(format)
    , m_metrics(metrics)
{
}

void UnansweredLog::record(const UnansweredRequest& request)
{
    const auto configuration = m_state.configuration();
    const auto id = m_format.requestId(request.headers);
    m_metrics.recordUnanswered(toString(request.reason));
    LOG(INFO) << "event=unanswered request=" << (id.empty() ? "-" : id) << " port=" << m_port << " " << request
              << " idle_timeout_ms=" << (configuration ? configuration->limits().idleTimeout.count() : 0)
              << " config=" << (configuration ? configuration->version() : 0);
}

} // namespace bulrushstack
