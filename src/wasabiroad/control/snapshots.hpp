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
     * @param place Name and availability zone of the daemon.
     */
    Snapshots(kernel::EventBus& bus, Place place);

    /** @return Publisher of routing snapshots. */
    kernel::Publisher<model::RoutingSnapshot>& publisher() { return this->routing; }

    /** @return Current control state. Control thread only. */
    const ControlState& state() const { return *this->current; }

private:
    void replace(ControlState state);

    const Place place;
    std::shared_ptr<const ControlState> current { std::make_shared<const ControlState>() };
    kernel::Publisher<model::RoutingSnapshot> routing {};
    std::uint64_t sequence { 0 };
};

} // namespace wasabiroad::control
