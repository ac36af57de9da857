#include "wasabiroad/routing/upstream_health.hpp"

#include <algorithm>

namespace wasabiroad::routing {

namespace {

/** Consecutive failures that eject an upstream; high enough that single failed requests do not. */
constexpr std::uint32_t failuresToEject = 5;

constexpr kernel::Duration initialEjection { 1000 };
constexpr kernel::Duration maxEjection { 60000 };

/** Time since the last ejection after which a success resets the duration to `initialEjection`. */
constexpr kernel::Duration backoffResetAfter { 120000 };

} // namespace

void UpstreamHealth::recordSuccess(kernel::Instant now)
{
    this->success = now;
    this->failures = 0;
    this->state = EjectionState::Admitted;
    if (this->ejectedAt && now - *this->ejectedAt > backoffResetAfter) {
        this->ejections = 0;
    }
}

bool UpstreamHealth::shouldEject() const
{
    return (this->state == EjectionState::Admitted && this->failures >= failuresToEject)
        || (this->state == EjectionState::Probing && this->failures > 0);
}

kernel::Instant UpstreamHealth::eject(kernel::Instant now)
{
    constexpr std::uint32_t maxDoublings = 6;
    const auto length = initialEjection * (std::int64_t { 1 } << std::min(this->ejections, maxDoublings));
    ++this->ejections;
    this->failures = 0;
    this->ejectedAt = now;
    this->state = EjectionState::Ejected;
    return now + std::min(length, maxEjection);
}

} // namespace wasabiroad::routing
