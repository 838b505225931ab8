#pragma once

#include "bulrushstack/front/front_binding.h"
#include "bulrushstack/net/unanswered_request.h"
#include "front_metrics.h"
#include "front_state.h"

#include <string>

namespace bulrushstack {

/// Logs and counts the requests whose connection ended without a complete response.
class UnansweredLog {
public:
    /// @param port  setting of the listening address, to tell the servers of an instance apart
    UnansweredLog(std::string port, const FrontState& state, const RequestFormat& format, FrontMetrics& metrics);

    void record(const UnansweredRequest& request);

private:
    std::string m_port;
    const FrontState& m_state;
    const RequestFormat& m_format;
    FrontMetrics& m_metrics;
};

} // namespace bulrushstack
