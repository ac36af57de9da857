#pragma once

#include <compare>
#include <cstdint>

namespace wasabiroad::scheduling {

/** @brief What a scheduler has looked at to decide; unlike time, it is the same on every machine. */
struct Effort {
    const std::uint64_t jobs { 0 };
    /** @brief Steps with tasks that may have to be started. */
    const std::uint64_t steps { 0 };
    /** @brief Upstreams, or groups of equal ones, that were compared for a task. */
    const std::uint64_t upstreams { 0 };

    /** @return The effort since an earlier look at the same scheduler. */
    friend Effort operator-(const Effort& later, const Effort& earlier)
    {
        return { later.jobs - earlier.jobs, later.steps - earlier.steps,
            later.upstreams - earlier.upstreams };
    }

    friend auto operator<=>(const Effort&, const Effort&) = default;
};

} // namespace wasabiroad::scheduling
