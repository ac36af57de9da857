#pragma once

#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/store/store.hpp"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace wasabiroad::agent {

/** @brief Pending jobs of a pool as of a revision, see jobs::PendingCounts. */
struct PendingView {
    const jobs::PendingCounts counts {};
    /** @brief The counts include all jobs that were accepted up to this revision. */
    const store::Revision asOf {};

    /** @return The count of a queue, 0 if it has none. */
    std::uint64_t countOf(const jobs::QueueId& queue) const;

    friend bool operator==(const PendingView&, const PendingView&) = default;
};

/**
 * @brief Counts the pending jobs of a pool, see jobs::PendingCounts.
 * @param service Service of the pool.
 * @param progress Progress of the jobs that have begun, read before `open`.
 * @param open Jobs of the pool that have not ended.
 * @return The counts as of `open`; they include jobs that began between the two reads.
 */
PendingView countPending(
    const model::ServiceId& service, const store::Listing& progress, const store::Listing& open);

/**
 * @brief Counts pending jobs in the store when no current count of the owner is available. Control thread
 * only.
 *
 * One pool is counted at a time, all callers that wait for a pool share its count, and a count is cached for
 * a short time, so the cost does not grow with the number of callers.
 */
class PendingCounter : public std::enable_shared_from_this<PendingCounter> {
public:
    using CountResult = kernel::Expected<PendingView>;

    explicit PendingCounter(std::shared_ptr<const store::Store> store);

    /** @brief Counts the pending jobs of a pool. */
    void count(const model::ServiceId& service, store::Callback<CountResult> callback);

private:
    struct CachedCount {
        const PendingView view;
        const kernel::Instant sent {};
    };

    void countNext();
    void finish(kernel::Instant sent, const CountResult& counted);

    const std::shared_ptr<const store::Store> store;
    std::map<model::ServiceId, CachedCount> cache {};
    std::map<model::ServiceId, std::vector<store::Callback<CountResult>>> callbacks {};
    /** @brief Pools to be counted; the first one is in progress. */
    std::deque<model::ServiceId> poolsToCount {};
};

} // namespace wasabiroad::agent
