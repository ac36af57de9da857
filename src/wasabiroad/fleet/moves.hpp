#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/model/policy.hpp"

#include <map>
#include <vector>

namespace wasabiroad::fleet {

/** @brief Demand and size of a pool. */
struct PoolDemand {
    /** @brief Demand in the last interval, in busy VMs. */
    const double demand { 0 };
    /** @brief Smoothed demand, see `forecast`. */
    const double forecastDemand { 0 };
    const std::uint32_t vms { 0 };
    /** @brief Number of VMs that the pool always keeps. */
    const std::uint32_t minimumVms { 1 };

    friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

/** @brief A move of one VM that was made earlier. */
struct PastMove {
    const kernel::Instant at {};
    const model::PoolId from;
    const model::PoolId to;

    friend auto operator<=>(const PastMove&, const PastMove&) = default;
};

/** @brief Planned move of one VM. */
struct Move {
    const model::PoolId from;
    const model::PoolId to;

    friend auto operator<=>(const Move&, const Move&) = default;
};

/** @brief Limits and parameters of the move planner. */
struct MoveRules {
    /** @brief Time for which a VM is out of service while it moves. */
    const kernel::Duration moveDuration { 10000 };
    /** @brief Time constant of the exponential smoothing; bursts that are much shorter cause no moves. */
    const kernel::Duration forecastTimeConstant { 300000 };
    /** @brief Maximum number of moves per hour over all pools. */
    const std::uint32_t movesPerHour { 12 };
    /** @brief Minimum time between a VM joining a pool and a VM leaving it, in either order. */
    const kernel::Duration cooldown { 600000 };
    /** @brief Target utilisation of a pool. */
    const double utilisation { 0.8 };
    /** @brief Weights of the site, of which `moves` and `waiting` are used. */
    const model::Weights weights {};

    friend auto operator<=>(const MoveRules&, const MoveRules&) = default;
};

/**
 * @brief Updates a forecast with the demand of an interval, by exponential smoothing.
 * @param before Forecast before the interval.
 * @param demand Mean demand in the interval.
 * @param interval Length of the interval.
 */
double forecast(double before, double demand, kernel::Duration interval, const MoveRules& rules);

/**
 * @brief Plans moves of VMs between pools.
 *
 * A VM moves only when the forecast shortage of a pool reaches a threshold, so that short bursts cause no
 * moves. The threshold rises with the site's weight of moves and falls with its weight of waiting.
 * @return Moves in the order in which they are made; may be empty.
 */
std::vector<Move> planMoves(const std::map<model::PoolId, PoolDemand>& pools,
    const std::vector<PastMove>& past, const MoveRules& rules, kernel::Instant now);

} // namespace wasabiroad::fleet
