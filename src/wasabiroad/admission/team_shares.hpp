#pragma once

#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wasabiroad::admission {

/**
 * @brief Fair shares of teams in one daemon and the slots that they hold.
 *
 * The share is `quota / entries`, rounded up. With E entries the shares add up to at most E - 1 slots
 * over the quota of a team, and a team whose requests arrive at one entry only is over its share from
 * `quota / E` slots on.
 */
class TeamShares {
public:
    /** @brief Index of requests without a declared team; they have no share to exceed. */
    static constexpr std::uint32_t noTeam = 0;

    TeamShares();

    /** @brief Takes over the quotas of a snapshot. */
    void update(const model::RoutingSnapshot& snapshot);

    /** @return Index of a team; `noTeam` when it was never declared. */
    std::uint32_t indexOf(const model::TeamId& team) const;

    /** @return Whether the team holds its share or more. */
    bool isAtShare(std::uint32_t team) const;

    /** @brief Counts a slot. @return Whether the answer of `over` changed. */
    bool take(std::uint32_t team);

    /** @brief Gives a slot back. @return Whether the answer of `over` changed. */
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
