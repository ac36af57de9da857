#pragma once

#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wasabiroad::admission {

/**
 * @brief Fair shares of teams in one daemon, and the slots that they hold.
 *
 * The share is `quota / entries`, rounded up. With E entry VMs, the shares of a team add up to at most
 * E - 1 slots more than its quota, and a team whose requests all arrive at one entry VM reaches its share
 * there at `quota / E` slots.
 */
class TeamShares {
public:
    /** @brief Index for requests without a declared team, which have an unlimited share. */
    static constexpr std::uint32_t noTeam = 0;

    TeamShares();

    /** @brief Applies the quotas of a snapshot. */
    void update(const model::RoutingSnapshot& snapshot);

    /** @return Index of a team; `noTeam` when no snapshot has declared it. */
    std::uint32_t indexOf(const model::TeamId& team) const;

    /** @return Whether the team holds its share of slots or more. */
    bool isAtShare(std::uint32_t team) const;

    /** @brief Counts a slot that the team takes. @return Whether this changed `isAtShare`. */
    bool take(std::uint32_t team);

    /** @brief Counts a slot that the team releases. @return Whether this changed `isAtShare`. */
    bool release(std::uint32_t team);

private:
    struct Share {
        std::uint32_t slots { UINT32_MAX };
        std::uint32_t held { 0 };
    };

    std::unordered_map<model::TeamId, std::uint32_t> indices {};
    std::vector<Share> shares {};
};

} // namespace wasabiroad::admission
