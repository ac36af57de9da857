#pragma once

#include "wasabiroad/control/events.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"

namespace wasabiroad::control {

/** @brief Inputs of a routing snapshot. */
struct ControlState {
    const ConfigurationPointer configuration {};
    const std::map<model::VmId, Assignment> assignments {};
    const std::set<model::VmId> leaving {};
    const MembershipChanged membership {};

    friend bool operator==(const ControlState&, const ControlState&) = default;
};

/** @brief Name and availability zone of the daemon that a snapshot is made for. */
struct DaemonLocation {
    const model::EntryId entry;
    const model::ZoneId zone;

    friend auto operator<=>(const DaemonLocation&, const DaemonLocation&) = default;
};

/**
 * @brief Makes a routing snapshot from the control state of a daemon.
 * @param state Control state with a configuration.
 * @param location Name and availability zone of the daemon.
 * @param sequence Sequence number of the new snapshot.
 */
model::RoutingSnapshot assemble(
    const ControlState& state, const DaemonLocation& location, std::uint64_t sequence);

} // namespace wasabiroad::control
