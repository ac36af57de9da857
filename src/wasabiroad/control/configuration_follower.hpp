#pragma once

#include "wasabiroad/control/adopt.hpp"
#include "wasabiroad/kernel/event_bus.hpp"
#include "wasabiroad/platform/store.hpp"

namespace wasabiroad::control {

/** @brief Follows the head of the configuration in the platform and adopts higher generations. */
class ConfigurationFollower {
public:
    ConfigurationFollower(kernel::EventBus& bus, platform::Store store);

    /** @brief Watches the head until the control context stops. */
    boost::asio::awaitable<void> run();

    /** @brief Adopts a text if it is newer and intact, and publishes `ConfigurationAdopted`. */
    kernel::Expected<void> offer(const Head& head, const std::string& text);

    /** @return Configuration in force, or null. */
    const ConfigurationPointer& configuration() const { return this->current; }

private:
    boost::asio::awaitable<void> fetch(Head head);

    kernel::EventBus& bus;
    const platform::Store store;
    ConfigurationPointer current {};
};

} // namespace wasabiroad::control
