#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <vector>

namespace wasabiroad::model {

/** @brief A maintenance wave; an empty list of pools, zones or racks selects all of them. */
struct Wave {
    const WaveId id;
    const std::vector<PoolId> pools {};
    const std::vector<ZoneId> zones {};
    const std::vector<RackId> racks {};
    /** @brief VMs out of service for the wave at once, over the whole site. */
    const std::uint32_t parallel { 1 };
    /** @brief Unplanned failures in the selected pools that stop the wave. */
    const std::uint32_t stopAfterFailures { 1 };
    /** @brief Time that a returned VM must stay healthy before its place is given to the next. */
    const kernel::Duration healthWait {};

    friend auto operator<=>(const Wave&, const Wave&) = default;
};

} // namespace wasabiroad::model
