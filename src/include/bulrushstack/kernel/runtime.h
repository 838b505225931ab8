#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/kernel/service.h"
#include "bulrushstack/kernel/settings.h"

#include <map>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace bulrushstack {

/// Who this instance is.
struct InstanceIdentity {
    std::string id;
    std::string zone; ///< availability zone
    std::uint64_t incarnation = 0; ///< higher in each new process under the same id

    friend bool operator==(const InstanceIdentity&, const InstanceIdentity&) = default;
};

/// Service "runtime": settings, clock, identity, metrics and readiness, shared by all other services.
class RuntimeService final : public Service {
public:
    RuntimeService(Settings settings, const Clock& clock, InstanceIdentity identity);

    std::string_view name() const override { return "runtime"; }
    void start(ServiceRegistry& registry) override;

    const Settings& settings() const { return m_settings; }
    const Clock& clock() const { return m_clock; }
    const InstanceIdentity& identity() const { return m_identity; }

    /// Returns the registry that /metrics shows.
    prometheus::Registry& metrics() { return m_metrics; }

    /// Sets one condition of readiness; `reason` says what is missing while it does not hold. The first call for a
    /// name adds the condition.
    void setReady(const std::string& condition, bool isReady, std::string reason = {});

    /// Returns whether all conditions hold.
    bool isReady() const;

    /// Returns "condition: reason" for each condition that does not hold.
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

/// Settings that every service may use: instance id and availability zone.
std::vector<SettingSpec> runtimeSettings();

} // namespace bulrushstack
