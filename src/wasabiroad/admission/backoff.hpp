#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>

namespace wasabiroad::admission {

/**
 * @brief Delay before a retry: doubles with each attempt up to a bound, with jitter.
 * @param attempts Attempts that have ended, at least 1.
 * @param draw Random number for the jitter.
 */
kernel::Duration retryDelay(std::uint32_t attempts, std::uint64_t draw);

/**
 * @brief Time after which a refused caller may try again, with jitter so that callers do not return at once.
 * @param expectedWait Wait in ms that the dispatcher expects now.
 * @param draw Random number for the jitter.
 */
kernel::Duration retryAfter(double expectedWait, std::uint64_t draw);

} // namespace wasabiroad::admission
