#include "bulrushstack/kernel/service.h"

#include <algorithm>
#include <glog/logging.h>
#include <set>

namespace bulrushstack {

boost::asio::awaitable<void> Service::stop() { co_return; }

ServiceRegistry::ServiceRegistry(boost::asio::io_context& context)
    : m_context(context)
{
}

ServiceRegistry::~ServiceRegistry() = default;

void ServiceRegistry::add(std::unique_ptr<Service> service)
{
    std::string name(service->name());
    if (!m_services.emplace(name, std::move(service)).second)
        throw std::runtime_error("service '" + name + "' is registered twice");
}

Service& ServiceRegistry::findService(std::string_view name)
{
    auto it = m_services.find(name);
    if (it == m_services.end())
        throw std::runtime_error("service '" + std::string(name) + "' is not registered");
    return *it->second;
}

std::vector<Service*> ServiceRegistry::startOrder() const
{
    std::vector<Service*> order;
    std::set<std::string, std::less<>> visiting;
    std::set<std::string, std::less<>> done;

    auto visit = [&](auto& self, Service& service) -> void {
        const std::string name(service.name());
        if (done.contains(name))
            return;
        visiting.insert(name);
        for (const auto& dependency : service.dependencies()) {
            auto it = m_services.find(dependency);
            if (it == m_services.end())
                throw std::runtime_error(
                    "service '" + name + "' depends on '" + dependency + "', which is not registered");
            if (visiting.contains(dependency))
                throw std::runtime_error("services '" + name + "' and '" + dependency + "' depend on each other");
            self(self, *it->second);
        }
        visiting.erase(name);
        done.insert(name);
        order.push_back(&service);
    };
    for (const auto& [name, service] : m_services)
        visit(visit, *service);
    return order;
}

void ServiceRegistry::startAll()
{
    for (auto* service : startOrder()) {
        try {
            service->start(*this);
        } catch (const std::exception& error) {
            throw std::runtime_error("service '" + std::string(service->name()) + "' failed to start: " + error.what());
        }
        m_started.push_back(service);
    }
}

boost::asio::awaitable<void> ServiceRegistry::stopAll()
{
    while (!m_started.empty()) {
        auto* service = m_started.back();
        m_started.pop_back();
        LOG(INFO) << "event=service-stop service=" << service->name();
        co_await service->stop();
    }
}

} // namespace bulrushstack
