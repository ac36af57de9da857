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

    /** @brief Follows the head as the current policy says until the control context stops. */
    boost::asio::awaitable<void> run();

    /** @brief Adopts a text with a higher generation and the digest of its head; publishes
     * `ConfigurationAdopted`. */
    kernel::Expected<void> offer(const Head& head, const std::string& text);

    /** @return Configuration in force, or null. */
    const ConfigurationPointer& configuration() const { return this->current; }

private:
    /** @return False when the text could not be read; the head must then be read again. */
    boost::asio::awaitable<bool> fetch(Head head);
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> pollOnce(kernel::Duration interval);
    boost::asio::awaitable<void> pause(kernel::Duration duration);

    kernel::EventBus& bus;
    const platform::Store store;
    std::shared_ptr<const HeadPolicy> policy { std::make_shared<const HeadPolicy>(HoldWatch {}) };
    /** Ends the pause of `run` early when the policy changes; empty outside a pause. */
    std::function<void()> cancelPause {};
    std::uint64_t revision { 0 };
    ConfigurationPointer current {};
};

} // namespace wasabiroad::control
