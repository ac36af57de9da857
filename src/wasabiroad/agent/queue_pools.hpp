#pragma once

#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/jobs/configuration.hpp"
#include "wasabiroad/kernel/clock.hpp"

#include <map>
#include <set>
#include <vector>

namespace wasabiroad::agent {

/**
 * @brief The pools that may hold open jobs of a queue.
 *
 * A job stays in the pool that accepted it when its queue is sent to another one. A pool is remembered for a
 * queue while the configuration or the report of its owner names both, and for some time afterwards, since a
 * report lags behind the jobs that are accepted.
 */
class QueuePools {
public:
    /** @brief Adds the pools to which a configuration sends the queues. */
    void addRoutes(const std::vector<jobs::Queue>& queues, kernel::Instant now);

    /** @brief Adds a pool whose owner reports open jobs of these queues. */
    void addReport(const model::ServiceId& pool, const jobs::PendingCounts& counts, kernel::Instant now);

    /** @brief Forgets the pools that have not been added again for some minutes. */
    void forgetUnused(kernel::Instant now);

    /** @return The pools that may hold open jobs of a queue. */
    std::set<model::ServiceId> poolsOf(const jobs::QueueId& queue) const;

    friend bool operator==(const QueuePools&, const QueuePools&) = default;

private:
    /** @brief When a pool was last added for a queue. */
    std::map<jobs::QueueId, std::map<model::ServiceId, kernel::Instant>> lastAdded {};
};

} // namespace wasabiroad::agent
