#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/service.h"
#include "bulrushstack/kernel/settings.h"

#include <map>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace bulrushstack {

/// Identifies this process among the instances of the deployment.
struct InstanceIdentity {
    std::string id;
    std::string zone; ///< availability zone in which the instance runs
    std::uint64_t incarnation = 0; ///< higher in each new process with the same id

    friend bool operator==(const InstanceIdentity&, const InstanceIdentity&) = default;
};

/// Service "runtime": provides the settings, clock, identity, metrics registry and readiness state to all other
/// services.
class RuntimeService final : public Service {
public:
    RuntimeService(Settings settings, const Clock& clock, InstanceIdentity identity);

    std::string_view name() const override { return "runtime"; }
    void start(ServiceRegistry& registry) override;

    const Settings& settings() const { return m_settings; }
    const Clock& clock() const { return m_clock; }
    const InstanceIdentity& identity() const { return m_identity; }

    /// Returns the registry of the metrics that /metrics returns.
    prometheus::Registry& metrics() { return m_metrics; }

    /// Sets whether a readiness condition is met; the instance is ready when all conditions are met. `reason` explains
    /// what is missing while the condition is not met. The first call for a name adds the condition.
    void setReady(const std::string& condition, bool isReady, std::string reason = {});

    /// Returns whether all readiness conditions are met.
    bool isReady() const;

    /// Returns "condition: reason" for each readiness condition that is not met.
    std::vector<std::string> unmetConditions() const;

private:
    struct Condition {
        bool isReady = false;
        std::string reason;
    };

    Settings m_settings;
    const Clock& m_clock;
    InstanceIdentity m_identity;
    prometheus::Registry m_metrics;
    std::map<std::string, Condition> m_conditions;
};

/// Returns the settings of the runtime service: instance id and availability zone.
std::vector<SettingSpec> runtimeSettings();

} // namespace bulrushstack
