#pragma once

#include "wasabiroad/control/assemble.hpp"
#include "wasabiroad/kernel/event_bus.hpp"
#include "wasabiroad/kernel/publisher.hpp"

namespace wasabiroad::control {

/** @brief Owns the control state of a daemon and publishes routing snapshots made from it. */
class Snapshots {
public:
    /**
     * @param bus Source of the events that change the control state.
     * @param location Name and availability zone of the daemon.
     */
    Snapshots(kernel::EventBus& bus, DaemonLocation location);

    /** @return Publisher of routing snapshots. */
    kernel::Publisher<model::RoutingSnapshot>& publisher() { return this->routing; }

    /** @return Current control state. Control thread only. */
    const ControlState& state() const { return *this->current; }

    /** @return Configuration that all traffic threads use, or null. Control thread only. */
    const ConfigurationPointer& inForce() const { return this->configurationInForce; }

private:
    void replace(ControlState state);
    void markInUse(std::uint64_t usedSequence);

    const DaemonLocation location;
    std::shared_ptr<const ControlState> current { std::make_shared<const ControlState>() };
    kernel::Publisher<model::RoutingSnapshot> routing {};
    std::uint64_t sequence { 0 };
    /** @brief Configurations of published snapshots that are not in use yet, by sequence. */
    std::map<std::uint64_t, ConfigurationPointer> published {};
    ConfigurationPointer configurationInForce {};
};

} // namespace wasabiroad::control
