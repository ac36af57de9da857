#include "wasabiroad/routing/upstream_health.hpp"

#include <algorithm>

namespace wasabiroad::routing {

namespace {

/** Failures without a success that eject an upstream; single errors of requests stay below it. */
constexpr std::uint32_t failuresToEject = 5;

constexpr kernel::Duration firstEjection { 1000 };
constexpr kernel::Duration longestEjection { 60000 };

/** An upstream that served this long since its last ejection starts again with the first length. */
constexpr kernel::Duration recovery { 120000 };

} // namespace

void UpstreamHealth::succeeded(kernel::Instant now)
{
    this->success = now;
    this->failures = 0;
    this->state = Admittance::Full;
    if (this->ejectedAt && now - *this->ejectedAt > recovery) {
        this->ejections = 0;
    }
}

bool UpstreamHealth::shouldEject() const
{
    return (this->state == Admittance::Full && this->failures >= failuresToEject)
        || (this->state == Admittance::Probe && this->failures > 0);
}

kernel::Instant UpstreamHealth::eject(kernel::Instant now)
{
    constexpr std::uint32_t doublings = 6;
    const auto length = firstEjection * (std::int64_t { 1 } << std::min(this->ejections, doublings));
    ++this->ejections;
    this->failures = 0;
    this->ejectedAt = now;
    this->state = Admittance::Ejected;
    return now + std::min(length, longestEjection);
}

} // namespace wasabiroad::routing
