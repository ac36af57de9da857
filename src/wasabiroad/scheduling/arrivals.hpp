#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>
#include <deque>

namespace wasabiroad::scheduling {

/**
 * @brief Measures how much work arrives, from the latest jobs.
 *
 * The span of the last few jobs, or a short fixed span when more than these came within it, shows a burst
 * after its first few jobs and is steady for rare ones.
 */
class ArrivalRate {
public:
    /**
     * @brief Counts a job that has arrived.
     * @param work Thousandths of a core times milliseconds.
     * @param at When it arrived.
     */
    void add(std::int64_t work, kernel::Instant at);

    /** @return Thousandths of a core that keep up with the work that arrives. */
    std::int64_t cpu(kernel::Instant now) const;

private:
    struct Arrival {
        kernel::Instant at {};
        /** @brief Thousandths of a core times milliseconds. */
        std::int64_t work { 0 };
    };

    std::deque<Arrival> recent {};
};

} // namespace wasabiroad::scheduling
