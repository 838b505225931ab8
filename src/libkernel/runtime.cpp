#include "bulrushstack/kernel/runtime.h"

#include <glog/logging.h>

namespace bulrushstack {

RuntimeService::RuntimeService(Settings settings, const Clock& clock, InstanceIdentity identity)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_identity(std::move(identity))
{
}

void RuntimeService::start(ServiceRegistry&)
{
    LOG(INFO) << "event=start instance=" << m_identity.id << " zone=" << m_identity.zone
              << " incarnation=" << m_identity.incarnation;
}

void RuntimeService::setReady(const std::string& condition, bool isReady, std::string reason)
{
    auto [it, isNew] = m_conditions.try_emplace(condition);
    if (isNew || it->second.isReady != isReady)
        LOG(INFO) << "event=readiness condition=" << condition << " ready=" << isReady << " reason=\"" << reason
                  << "\"";
    it->second = Condition { .isReady = isReady, .reason = std::move(reason) };
}

bool RuntimeService::isReady() const { return unmetConditions().empty(); }

std::vector<std::string> RuntimeService::unmetConditions() const
{
    std::vector<std::string> out;
    for (const auto& [name, condition] : m_conditions) {
        if (!condition.isReady)
            out.push_back(name + ": " + condition.reason);
    }
    return out;
}

std::vector<SettingSpec> runtimeSettings()
{
    return {
        { .name = "instance-id", .kind = SettingKind::Text, .help = "unique name of this instance", .required = true },
        { .name = "zone", .kind = SettingKind::Text, .help = "availability zone of this instance", .required = true },
    };
}

} // namespace bulrushstack
