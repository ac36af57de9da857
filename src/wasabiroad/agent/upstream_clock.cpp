#include "wasabiroad/agent/upstream_clock.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Difference in ms that the rounding of two clocks to whole ms can make. */
constexpr Duration roundingError { 2 };

} // namespace

ports::UpstreamTime leaseEnd(const ClockReading& reading, Duration lease, kernel::Instant now)
{
    const auto passed = now - reading.received;
    return { reading.clock.milliseconds + passed.milliseconds + lease.milliseconds };
}

bool isRestarted(const ClockReading& reading, ports::UpstreamTime answered, kernel::Instant sent)
{
    // A call may be sent before the answer with the reading arrives.
    const auto passed = std::max(Duration {}, sent - reading.received);
    const auto slowest = passed.milliseconds * (100 - maxClockSlowdownPercent) / 100;
    return answered.milliseconds < reading.clock.milliseconds + slowest - roundingError.milliseconds;
}

} // namespace wasabiroad::agent
