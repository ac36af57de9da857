#pragma once

#include "wasabiroad/model/policy.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiroad::routing {

/** @brief What one entry VM may use of an upstream. */
struct SlotShare {
    const std::uint32_t slots { 0 };
    const std::uint32_t connections { 0 };

    friend auto operator<=>(const SlotShare&, const SlotShare&) = default;
};

/** @brief An upstream whose slots and connections are shared. */
struct SlotCapacity {
    /** @brief Name of its VM. */
    const std::string vm;
    /** @brief Whether it is in the availability zone of the entry VM that asks. */
    const bool sameZone { true };
    const std::uint32_t slots { 0 };
    const std::uint32_t connections { 0 };

    friend auto operator<=>(const SlotCapacity&, const SlotCapacity&) = default;
};

/** @brief What an entry VM knows of the entry VMs that share upstreams with it. */
struct SharingEntries {
    /** @brief Entry VM whose share is asked for. */
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
 * The slots are divided among the entries of the upstream's own availability zone. With more
 * entries than half the slots, only those that rank first by rendezvous hashing hold a share of
 * two or more, so that neither slots nor connections are split too thinly. Entries of other
 * zones may use one slot each, as overflow that the upstream refuses when it is full; a quarter
 * of the connections, divided by zones, bounds how many do so. The shares of one zone add up to
 * the slots, and all connections stay within the upstream's limit, while the views agree.
 */
SlotShare slotShare(
    const model::SlotPolicy& policy, const SlotCapacity& upstream, const SharingEntries& entries);

} // namespace wasabiroad::routing
