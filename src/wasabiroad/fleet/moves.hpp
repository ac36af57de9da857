#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/model/policy.hpp"

#include <map>
#include <vector>

namespace wasabiroad::fleet {

/** @brief Demand and size of a pool. */
struct PoolDemand {
    /** @brief VMs that would be busy at the demand of the last interval. */
    const double demand { 0 };
    /** @brief Forecast of the demand, see `forecast`. */
    const double expected { 0 };
    const std::uint32_t vms { 0 };
    /** @brief VMs that the pool keeps in any case. */
    const std::uint32_t least { 1 };

    friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

/** @brief A move of one VM that was made. */
struct PastMove {
    const kernel::Instant at {};
    const model::PoolId from;
    const model::PoolId to;

    friend auto operator<=>(const PastMove&, const PastMove&) = default;
};

/** @brief Move of one VM to make. */
struct Move {
    const model::PoolId from;
    const model::PoolId to;

    friend auto operator<=>(const Move&, const Move&) = default;
};

/** @brief Rules of moves. */
struct MoveRules {
    /** @brief Time that a VM serves nobody while it moves. */
    const kernel::Duration moveTime { 10000 };
    /** @brief Time constant of the forecast; a burst that is much shorter keeps VMs still. */
    const kernel::Duration forecastTime { 300000 };
    /** @brief Moves in an hour over all pools. */
    const std::uint32_t perHour { 12 };
    /** @brief Time during which a pool that received a VM gives none, and the reverse. */
    const kernel::Duration rest { 600000 };
    /** @brief Utilisation that pools are sized for. */
    const double utilisation { 0.8 };
    const model::Weights weights {};

    friend auto operator<=>(const MoveRules&, const MoveRules&) = default;
};

/**
 * @brief Updates a forecast with the demand of an interval, by exponential smoothing.
 * @param before Forecast before the interval.
 * @param demand Mean demand in the interval.
 */
double forecast(double before, double demand, kernel::Duration interval, const MoveRules& rules);

/**
 * @brief Decides moves between pools.
 *
 * A VM moves only when the forecast lacks more VMs than a move costs, so that bursts shorter than a move
 * change nothing. The price of a move grows with the site's weight of moves and falls with its weight of
 * waiting.
 * @return Moves in order; empty when the rules keep all VMs where they are.
 */
std::vector<Move> planMoves(const std::map<model::PoolId, PoolDemand>& pools,
    const std::vector<PastMove>& past, const MoveRules& rules, kernel::Instant now);

} // namespace wasabiroad::fleet
