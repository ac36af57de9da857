#include "wasabiroad/admission/backoff.hpp"

#include <algorithm>

namespace wasabiroad::admission {

namespace {

constexpr std::int64_t initialDelayMs = 4;
constexpr std::int64_t maxDelayMs = 1000;
constexpr std::uint32_t maxDoublings = 8;

constexpr std::int64_t minRetryAfterMs = 100;
constexpr std::int64_t maxRetryAfterMs = 30000;

/** Uniform between 0.5 and 1.5 times the value. */
kernel::Duration jittered(std::int64_t milliseconds, std::uint64_t draw)
{
    const auto span = static_cast<std::uint64_t>(milliseconds) + 1;
    return { milliseconds / 2 + static_cast<std::int64_t>(draw % span) };
}

} // namespace

kernel::Duration retryDelay(std::uint32_t attempts, std::uint64_t draw)
{
    const auto doublings = std::min(std::max(1U, attempts) - 1, maxDoublings);
    return jittered(std::min(initialDelayMs << doublings, maxDelayMs), draw);
}

kernel::Duration retryAfter(double expectedWait, std::uint64_t draw)
{
    const auto bounded = std::min(expectedWait, static_cast<double>(maxRetryAfterMs));
    return jittered(std::max(minRetryAfterMs, static_cast<std::int64_t>(bounded)), draw);
}

} // namespace wasabiroad::admission
