#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>
#include <deque>

namespace wasabiroad::scheduling {

/**
 * @brief Measures the rate of arriving work from the latest jobs.
 *
 * The rate is taken over the last few jobs, or over a short fixed span if more jobs arrived within it. This
 * detects a burst after its first few jobs and stays stable when jobs are rare.
 */
class ArrivalRate {
public:
    /**
     * @brief Adds an arriving job.
     * @param work Millicores times milliseconds.
     * @param at Time of arrival.
     */
    void add(std::int64_t work, kernel::Instant at);

    /** @return Millicores required to keep up with the arriving work. */
    std::int64_t cpu(kernel::Instant now) const;

private:
    struct Arrival {
        kernel::Instant at {};
        /** @brief Millicores times milliseconds. */
        std::int64_t work { 0 };
    };

    std::deque<Arrival> recent {};
};

} // namespace wasabiroad::scheduling
