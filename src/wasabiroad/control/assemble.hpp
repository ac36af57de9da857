#pragma once

#include "wasabiroad/control/events.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"

namespace wasabiroad::control {

/** @brief All that a routing snapshot is made from. */
struct ControlState {
    const ConfigurationPointer configuration {};
    const std::map<model::VmId, Assignment> assignments {};
    const std::set<model::VmId> leaving {};
    const MembershipChanged membership {};

    friend bool operator==(const ControlState&, const ControlState&) = default;
};

/** @brief The daemon that a snapshot is made for. */
struct Place {
    const model::EntryId entry;
    const model::ZoneId zone;

    friend auto operator<=>(const Place&, const Place&) = default;
};

/**
 * @brief Makes a routing snapshot from the control state of a daemon.
 * @param state Control state with a configuration.
 * @param place Name and availability zone of the daemon.
 * @param sequence Number of the new snapshot.
 */
model::RoutingSnapshot assemble(const ControlState& state, const Place& place, std::uint64_t sequence);

} // namespace wasabiroad::control
