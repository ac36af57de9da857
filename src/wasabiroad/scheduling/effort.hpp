#pragma once

#include <compare>
#include <cstdint>

namespace wasabiroad::scheduling {

/** @brief Counts of items that a scheduler examined; unlike elapsed time, they do not depend on the machine.
 */
struct Effort {
    const std::uint64_t jobs { 0 };
    /** @brief Steps examined for startable tasks, and requirements of blocked steps. */
    const std::uint64_t steps { 0 };
    /** @brief Upstreams and groups of equivalent upstreams that were compared for a task or indexed again. */
    const std::uint64_t upstreams { 0 };

    /** @return Counts since an earlier reading from the same scheduler. */
    friend Effort operator-(const Effort& later, const Effort& earlier)
    {
        return { later.jobs - earlier.jobs, later.steps - earlier.steps,
            later.upstreams - earlier.upstreams };
    }

    friend auto operator<=>(const Effort&, const Effort&) = default;
};

} // namespace wasabiroad::scheduling
