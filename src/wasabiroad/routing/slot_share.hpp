#pragma once

#include "wasabiroad/model/policy.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiroad::routing {

/** @brief Slots and connections of an upstream that one entry VM may use. */
struct SlotShare {
    const std::uint32_t slots { 0 };
    const std::uint32_t connections { 0 };

    friend auto operator<=>(const SlotShare&, const SlotShare&) = default;
};

/** @brief An upstream whose slots and connections are divided. */
struct SlotCapacity {
    /** @brief Name of its VM. */
    const std::string vm;
    /** @brief Whether it is in the availability zone of the entry VM whose share is computed. */
    const bool sameZone { true };
    const std::uint32_t slots { 0 };
    const std::uint32_t connections { 0 };

    friend auto operator<=>(const SlotCapacity&, const SlotCapacity&) = default;
};

/** @brief Entry VMs that share upstreams, as one of them sees them. */
struct SharingEntries {
    /** @brief Entry VM whose share is computed. */
    const std::string self;
    /** @brief Live entry VMs of its availability zone, itself included. */
    const std::vector<std::string> zoneEntries {};
    /** @brief Availability zones of the site. */
    const std::uint32_t zones { 1 };

    friend auto operator<=>(const SharingEntries&, const SharingEntries&) = default;
};

/**
 * @brief Divides an upstream among the live entry VMs.
 *
 * The slots are divided among the entry VMs of the upstream's availability zone. If there are more of
 * them than half the slots, only those ranked first by rendezvous hashing get a share, of two slots or
 * more, so that slots and connections are not split too thinly. Entry VMs of other zones may use one
 * slot each as overflow, which the upstream refuses when it is full; a quarter of the connections,
 * divided by the number of other zones, limits how many do so. As long as all entry VMs have the same
 * view, the shares of the zone add up to the slots, and connections stay within the upstream's limit.
 */
SlotShare slotShare(
    const model::SlotPolicy& policy, const SlotCapacity& upstream, const SharingEntries& entries);

} // namespace wasabiroad::routing
