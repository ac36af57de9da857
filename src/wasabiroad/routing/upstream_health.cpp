#include "wasabiroad/routing/upstream_health.hpp"

#include <algorithm>

namespace wasabiroad::routing {

namespace {

/** Failures without a success that eject an upstream; single errors of requests stay below it. */
constexpr std::uint32_t failuresToEject = 5;

constexpr kernel::Duration initialEjection { 1000 };
constexpr kernel::Duration maxEjection { 60000 };

/** An upstream that served this long since its last ejection starts again with the first length. */
constexpr kernel::Duration lengthResetAfter { 120000 };

} // namespace

void UpstreamHealth::recordSuccess(kernel::Instant now)
{
    this->success = now;
    this->failures = 0;
    this->state = EjectionState::Admitted;
    if (this->ejectedAt && now - *this->ejectedAt > lengthResetAfter) {
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
