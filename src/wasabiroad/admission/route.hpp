#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiroad::admission {

/** @brief What an operation requires of the VM that runs it. */
struct Requirement {
    const std::uint32_t accelerators { 0 };
    /** @brief Memory in GB. */
    const std::uint32_t memory { 0 };

    friend auto operator<=>(const Requirement&, const Requirement&) = default;
};

/**
 * @brief Upstreams that are equally preferred for a request: those of one pool, either in the daemon's
 * availability zone or in other zones.
 */
struct Tier {
    const std::uint32_t pool { 0 };
    /** @brief Reason given by grants of this tier. */
    const std::string reason {};
    /** @brief Indices of groups of upstreams, by rising accelerators and memory. */
    const std::vector<std::uint32_t> groups {};

    friend auto operator<=>(const Tier&, const Tier&) = default;
};

/** @brief Tiers in order of preference. */
using Route = std::vector<Tier>;

} // namespace wasabiroad::admission
