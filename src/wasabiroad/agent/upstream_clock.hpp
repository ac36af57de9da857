#pragma once

#include "wasabiroad/ports/upstreams.hpp"

namespace wasabiroad::agent {

/** @brief Clocks of upstreams may run this much slower than ours, in percent. */
inline constexpr std::int64_t maxClockSlowdownPercent = 2;

/** @brief A reading of the clock of one incarnation of an upstream. */
struct ClockReading {
    /** @brief Wall clock time of the start of the incarnation. */
    const kernel::Instant incarnation {};
    const ports::UpstreamTime clock {};
    /** @brief Boot clock time at which the answer arrived. */
    const kernel::Instant received {};

    friend auto operator<=>(const ClockReading&, const ClockReading&) = default;
};

/**
 * @brief Computes the end of a lease.
 * @param reading Latest reading of the upstream's clock.
 * @param lease Length of the lease in ms.
 * @param now Boot clock time.
 * @return The end on the clock of the incarnation that was read. The clock of a later incarnation lags
 * behind, so there the lease lasts longer, up to the longest one that an upstream grants.
 */
ports::UpstreamTime leaseEnd(const ClockReading& reading, kernel::Duration lease, kernel::Instant now);

/**
 * @brief Tells from an answer whether another incarnation than the one that was read has given it.
 * @param reading Latest reading of the upstream's clock.
 * @param answered The upstream's clock as it answered.
 * @param sent Boot clock time at which the call was sent.
 * @return Whether the answer's clock is behind that of the incarnation that was read.
 */
bool isRestarted(const ClockReading& reading, ports::UpstreamTime answered, kernel::Instant sent);

} // namespace wasabiroad::agent
