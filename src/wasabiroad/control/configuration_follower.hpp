#pragma once

#include "wasabiroad/control/adopt.hpp"
#include "wasabiroad/kernel/event_bus.hpp"
#include "wasabiroad/platform/store.hpp"

#include <functional>

namespace wasabiroad::control {

/** @brief Follows the head of the configuration in the platform and adopts higher generations. */
class ConfigurationFollower {
public:
    ConfigurationFollower(kernel::EventBus& bus, platform::Store store);

    /** @brief Follows the head by the policy in force until the control context stops. */
    boost::asio::awaitable<void> run();

    /** @brief Adopts a text if it is newer and intact, and publishes `ConfigurationAdopted`. */
    kernel::Expected<void> offer(const Head& head, const std::string& text);

    /** @return Configuration in force, or null. */
    const ConfigurationPointer& configuration() const { return this->current; }

private:
    /** @return False when the platform did not answer, so that the head is read again. */
    boost::asio::awaitable<bool> fetch(Head head);
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> pollOnce(kernel::Duration interval);
    boost::asio::awaitable<void> pause(kernel::Duration duration);

    kernel::EventBus& bus;
    const platform::Store store;
    std::shared_ptr<const HeadPolicy> policy { std::make_shared<const HeadPolicy>(HoldWatch {}) };
    /** Cancels the pause of `run` when the policy changes. */
    std::function<void()> wake {};
    std::uint64_t revision { 0 };
    ConfigurationPointer current {};
};

} // namespace wasabiroad::control
