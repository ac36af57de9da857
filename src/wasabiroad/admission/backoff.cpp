#include "wasabiroad/admission/backoff.hpp"

#include <algorithm>

namespace wasabiroad::admission {

namespace {

constexpr std::int64_t firstDelay = 4;
constexpr std::int64_t longestDelay = 1000;
constexpr std::uint32_t mostDoublings = 8;

constexpr std::int64_t shortestRetryAfter = 100;
constexpr std::int64_t longestRetryAfter = 30000;

/** Uniform between half and one and a half of the value. */
kernel::Duration jittered(std::int64_t milliseconds, std::uint64_t draw)
{
    const auto span = static_cast<std::uint64_t>(milliseconds) + 1;
    return { milliseconds / 2 + static_cast<std::int64_t>(draw % span) };
}

} // namespace

kernel::Duration retryDelay(std::uint32_t attempts, std::uint64_t draw)
{
    const auto doublings = std::min(std::max(1U, attempts) - 1, mostDoublings);
    return jittered(std::min(firstDelay << doublings, longestDelay), draw);
}

kernel::Duration retryAfter(double expectedWait, std::uint64_t draw)
{
    const auto bounded = std::min(expectedWait, static_cast<double>(longestRetryAfter));
    return jittered(std::max(shortestRetryAfter, static_cast<std::int64_t>(bounded)), draw);
}

} // namespace wasabiroad::admission
