#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiroad::admission {

/** @brief What an operation needs of the VM that runs it. */
struct Requirement {
    const std::uint32_t accelerators { 0 };
    /** @brief Memory in GB. */
    const std::uint32_t memory { 0 };

    friend auto operator<=>(const Requirement&, const Requirement&) = default;
};

/** @brief Upstreams that are equally preferred for a request: those of one pool, near or far. */
struct Tier {
    const std::uint32_t pool { 0 };
    /** @brief Reason that a decision for this tier gives. */
    const std::string reason {};
    /** @brief Groups of upstreams, least equipped first. */
    const std::vector<std::uint32_t> groups {};

    friend auto operator<=>(const Tier&, const Tier&) = default;
};

/** @brief Tiers in order of preference. */
using Route = std::vector<Tier>;

} // namespace wasabiroad::admission
