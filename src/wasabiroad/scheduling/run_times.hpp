#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/kernel/clock.hpp"

#include <map>

namespace wasabiroad::scheduling {

/**
 * @brief Learns how long tasks of a queue run, from their declared estimates and from tasks that are done.
 *
 * Callers declare run times that can be off by a factor of ten. The logarithm of the run time is fitted to
 * the logarithm of the estimate, so that a queue with good estimates keeps them and one with bad estimates
 * falls back to its usual run time.
 */
class RunTimes {
public:
    /** @brief Adds a step of which a task is done. */
    void observe(const jobs::QueueId& queue, kernel::Duration declared, kernel::Duration actual);

    /** @return Time that a task with this estimate is expected to run. */
    kernel::Duration expected(const jobs::QueueId& queue, kernel::Duration declared) const;

private:
    /** @brief Weighted sums over logarithms of estimates and of run times. */
    struct Sums {
        double weight { 0 };
        double declared { 0 };
        double actual { 0 };
        double declaredSquared { 0 };
        double product { 0 };
    };

    std::map<jobs::QueueId, Sums> queues {};
};

} // namespace wasabiroad::scheduling
