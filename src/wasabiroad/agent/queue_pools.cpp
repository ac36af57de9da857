#include "wasabiroad/agent/queue_pools.hpp"

namespace wasabiroad::agent {

using kernel::Duration;
using kernel::Instant;

namespace {

/** Time in ms for which a pool is remembered that nothing names for a queue. Several reads of the reports of
 * all pools fall into it. */
constexpr Duration retention { 180'000 };

} // namespace

void QueuePools::addRoutes(const std::vector<jobs::Queue>& queues, Instant now)
{
    for (const auto& queue : queues) {
        this->lastAdded[queue.id].insert_or_assign(queue.service, now);
    }
}

void QueuePools::addReport(const model::ServiceId& pool, const jobs::PendingCounts& counts, Instant now)
{
    for (const auto& [queue, count] : counts) {
        this->lastAdded[queue].insert_or_assign(pool, now);
    }
}

void QueuePools::forgetUnused(Instant now)
{
    for (auto& [queue, pools] : this->lastAdded) {
        std::erase_if(pools, [&](const auto& entry) { return now - entry.second > retention; });
    }
    std::erase_if(this->lastAdded, [](const auto& entry) { return entry.second.empty(); });
}

std::set<model::ServiceId> QueuePools::poolsOf(const jobs::QueueId& queue) const
{
    std::set<model::ServiceId> pools;
    if (const auto found = this->lastAdded.find(queue); found != this->lastAdded.end()) {
        for (const auto& [pool, added] : found->second) {
            pools.insert(pool);
        }
    }
    return pools;
}

} // namespace wasabiroad::agent
