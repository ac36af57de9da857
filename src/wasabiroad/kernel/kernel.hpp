#pragma once

#include "wasabiroad/kernel/event_bus.hpp"
#include "wasabiroad/kernel/registry.hpp"
#include "wasabiroad/kernel/threads.hpp"

#include <any>
#include <memory>
#include <typeindex>
#include <unordered_map>

namespace wasabiroad::kernel {

/** @brief Starts plug-ins, connects them by events and by typed services, and stops them. */
class Kernel {
public:
    /** @param trafficThreads Number of traffic threads, at least 1. */
    explicit Kernel(std::size_t trafficThreads)
        : threadSet(trafficThreads)
    {
    }

    EventBus& bus() { return this->events; }
    Threads& threads() { return this->threadSet; }

    /** @brief Makes an object available to other plug-ins under its type. */
    template <typename Service> void provide(std::shared_ptr<Service> service)
    {
        this->services[typeid(std::shared_ptr<Service>)] = std::move(service);
    }

    /** @return The object provided under the type, or null. */
    template <typename Service> std::shared_ptr<Service> find() const
    {
        using Pointer = std::shared_ptr<Service>;
        const auto found = this->services.find(typeid(Pointer));
        return found == this->services.end() ? nullptr : std::any_cast<Pointer>(found->second);
    }

    /**
     * @brief Starts the plug-ins of a registry in the order of their dependencies.
     * @return The first start error, or nothing.
     */
    Expected<void> start(const Registry& registry);

    /** @brief Runs the threads until `shutDown` has finished. */
    void run() { this->threadSet.run(); }

    /** @brief Drains all plug-ins, then stops them in reverse order and ends `run`. Control thread only. */
    void shutDown();

private:
    void drainNext(std::size_t remaining);
    void stopAll();

    Threads threadSet;
    EventBus events {};
    std::unordered_map<std::type_index, std::any> services {};
    std::vector<const Plugin*> started {};
    bool shuttingDown { false };
};

} // namespace wasabiroad::kernel
