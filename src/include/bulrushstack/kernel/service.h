#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

class ServiceRegistry;

/// A component of the daemon that the ServiceRegistry starts and stops. All methods run on the thread of the registry's
/// io_context.
class Service {
public:
    virtual ~Service() = default;

    /// Returns the unique name by which other services look up this service.
    virtual std::string_view name() const = 0;

    /// Returns the names of the services that must be started before this one and stopped after it.
    virtual std::vector<std::string> dependencies() const { return {}; }

    /// Looks up the dependencies and starts the service. Throws std::runtime_error if it cannot start.
    virtual void start(ServiceRegistry& registry) = 0;

    /// Shuts the service down; completes when no work of the service is running. The default implementation does
    /// nothing.
    virtual boost::asio::awaitable<void> stop();
};

/// Owns the services of the daemon, starts them in dependency order and stops them in reverse order.
class ServiceRegistry {
public:
    explicit ServiceRegistry(boost::asio::io_context& context);
    ~ServiceRegistry();

    ServiceRegistry(const ServiceRegistry&) = delete;
    ServiceRegistry& operator=(const ServiceRegistry&) = delete;

    boost::asio::io_context& context() { return m_context; }

    /// Adds a service; must be called before startAll(). Throws std::runtime_error if the name is already registered.
    void add(std::unique_ptr<Service> service);

    /// Starts every service after its dependencies. Throws std::runtime_error, whose message names the service and its
    /// missing or cyclic dependency, or the service that failed to start.
    void startAll();

    /// Stops the started services in reverse order.
    boost::asio::awaitable<void> stopAll();

    /// Returns the service with the given name. Throws std::runtime_error if there is none or if it is not a T.
    template <typename T> T& find(std::string_view name)
    {
        auto* typed = dynamic_cast<T*>(&findService(name));
        if (!typed)
            throw std::runtime_error("service '" + std::string(name) + "' does not have the requested type");
        return *typed;
    }

private:
    Service& findService(std::string_view name);
    std::vector<Service*> startOrder() const;

    boost::asio::io_context& m_context;
    std::map<std::string, std::unique_ptr<Service>, std::less<>> m_services;
    std::vector<Service*> m_started;
};

} // namespace bulrushstack
