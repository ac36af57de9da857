#pragma once

#include <compare>
#include <cstddef>

namespace wasabiroad::scheduling {

/** @brief Scheduling state in memory whose size depends on the jobs of callers. */
struct Footprint {
    /** @brief Steps of open occurrences. */
    const std::size_t steps { 0 };
    /** @brief Tasks that are held in full. */
    const std::size_t tasks { 0 };

    friend auto operator<=>(const Footprint&, const Footprint&) = default;
};

} // namespace wasabiroad::scheduling
