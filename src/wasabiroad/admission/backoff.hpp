#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>

namespace wasabiroad::admission {

/**
 * @brief Delay before a retry: exponential backoff with jitter, up to a maximum.
 * @param attempts Attempts of the request that have ended, at least 1.
 * @param draw Random number for the jitter.
 */
kernel::Duration retryDelay(std::uint32_t attempts, std::uint64_t draw);

/**
 * @brief Time after which a refused caller may try again, with jitter so that callers do not all return at
 * once.
 * @param expectedWait Current expected queueing time in ms.
 * @param draw Random number for the jitter.
 */
kernel::Duration retryAfter(double expectedWait, std::uint64_t draw);

} // namespace wasabiroad::admission
