#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/kernel/clock.hpp"

#include <map>

namespace wasabiroad::scheduling {

/**
 * @brief Predicts the run times of tasks of a queue from declared estimates and completed tasks.
 *
 * Estimates of callers can be off by a factor of ten. A linear regression of the logarithm of the run time on
 * the logarithm of the estimate keeps good estimates, and falls back to the mean run time of the queue for
 * poor ones.
 */
class RunTimes {
public:
    /** @brief Adds the run time of a step. */
    void observe(const jobs::QueueId& queue, kernel::Duration declared, kernel::Duration actual);

    /** @return Expected run time of a task with this estimate. */
    kernel::Duration expected(const jobs::QueueId& queue, kernel::Duration declared) const;

private:
    /** @brief Weighted sums of the logarithms of estimates and run times. */
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
