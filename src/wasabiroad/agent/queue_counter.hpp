#pragma once

#include "wasabiroad/agent/pending_counter.hpp"
#include "wasabiroad/agent/queue_pools.hpp"
#include "wasabiroad/agent/revision_clock.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace wasabiroad::agent {

/**
 * @brief Counts the pending jobs of a queue in all pools that may hold some. Control thread only.
 *
 * The count of a pool that this daemon owns is its own, that of another pool is in its owner's report. If
 * that is older than the limit for counts, the jobs of the pool are counted in the store.
 */
class QueueCounter : public std::enable_shared_from_this<QueueCounter> {
public:
    using Callback = store::Callback<std::optional<std::uint64_t>>;
    /** @brief Returns the counts of a pool that this daemon owns, or nothing. */
    using OwnCounts = std::function<std::optional<PendingView>(const model::ServiceId& pool)>;

    QueueCounter(std::shared_ptr<const store::Store> store, std::shared_ptr<const RevisionClock> revisions,
        OwnCounts ownCounts);

    /** @brief Applies the queues of a configuration that has come into force. */
    void setQueues(const std::vector<jobs::Queue>& queues);

    /**
     * @brief Applies the reports of all pools.
     * @param reports Entries of the store, see keys::reports; unreadable ones are logged and skipped.
     * @param queues Queues of the configuration in force.
     * @return The pools with a current report.
     */
    std::set<model::ServiceId> setReports(
        const store::Listing& reports, const std::vector<jobs::Queue>& queues);

    /**
     * @brief Counts the pending jobs of a queue.
     * @param service Service to which the queue is sent now.
     * @param callback Gets nothing if the jobs of a pool cannot be counted, or not soon enough.
     */
    void count(const model::ServiceId& service, const jobs::QueueId& queue, Callback callback);

    /** @return Whether a view as of a revision is recent enough for counts. */
    bool isCurrent(store::Revision asOf) const;

private:
    struct Sum;
    using PoolCallback
        = std::function<void(std::string_view source, const PendingCounter::CountResult& counted)>;

    void countPool(const model::ServiceId& pool, const PoolCallback& callback);
    void add(Sum& sum, const model::ServiceId& pool, std::string_view source,
        const PendingCounter::CountResult& counted);

    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<const RevisionClock> revisions;
    const OwnCounts ownCounts;
    const std::shared_ptr<PendingCounter> inStore;
    QueuePools pools {};
};

} // namespace wasabiroad::agent
