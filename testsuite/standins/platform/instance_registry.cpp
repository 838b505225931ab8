#include "instance_registry.h"

namespace bulrushstack::standins {

using json = nlohmann::json;

namespace {

bool isStringMember(const json& record, const char* name)
{
    return record.contains(name) && record.at(name).is_string();
}

bool isUnsignedMember(const json& record, const char* name)
{
    return record.contains(name) && record.at(name).is_number_unsigned();
}

json instanceListDocument(const std::map<std::string, json>& records)
{
    auto instances = json::array();
    for (const auto& [id, record] : records)
        instances.push_back(record);
    auto out = json::object();
    out["instances"] = std::move(instances);
    return out;
}

} // namespace

InstanceRegistry::InstanceRegistry(const Clock& clock, std::chrono::nanoseconds lag)
    : m_clock(clock)
    , m_lag(lag)
{
    m_history.push_back({ .since = SteadyTime::min(), .records = {} });
}

std::string InstanceRegistry::put(const std::string& id, json record)
{
    if (!record.is_object())
        return "a record is an object";
    if (record.contains("id") && record.at("id") != id)
        return "the id differs from the path";
    for (const auto* it : { "role", "host", "zone", "state" }) {
        if (!isStringMember(record, it))
            return std::string(it) + " must be a text";
    }
    for (const auto* it : { "port", "incarnation" }) {
        if (!isUnsignedMember(record, it))
            return std::string(it) + " must be a whole number";
    }
    record["id"] = id;
    auto records = m_history.back().records;
    records[id] = std::move(record);
    append(std::move(records));
    return {};
}

bool InstanceRegistry::remove(const std::string& id)
{
    auto records = m_history.back().records;
    if (records.erase(id) == 0)
        return false;
    append(std::move(records));
    return true;
}

json InstanceRegistry::delayedList()
{
    const auto until = m_clock.now() - m_lag;
    while (m_history.size() > 1 && m_history[1].since <= until)
        m_history.pop_front();
    return instanceListDocument(m_history.front().records);
}

json InstanceRegistry::currentList() const { return instanceListDocument(m_history.back().records); }

void InstanceRegistry::append(Records records)
{
    m_history.push_back({ .since = m_clock.now(), .records = std::move(records) });
}

} // namespace bulrushstack::standins
