#pragma once

#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/store/store.hpp"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace wasabiroad::agent {

/** @brief Jobs of a pool that have not begun, as of a revision. */
struct PendingView {
    const jobs::PendingCounts counts {};
    /** @brief All jobs that were accepted up to this revision are counted. */
    const store::Revision asOf {};

    /** @return The count of a queue. */
    std::uint64_t countOf(const jobs::QueueId& queue) const;

    friend bool operator==(const PendingView&, const PendingView&) = default;
};

/**
 * @brief Counts the jobs without times of their own that have not begun.
 * @param service Service of the pool.
 * @param progress Progress of the jobs that have begun, read before the jobs.
 * @param open Jobs of the pool.
 * @return The counts as of the list of jobs; a job that began between the two lists is counted.
 */
PendingView countPending(
    const model::ServiceId& service, const store::Listing& progress, const store::Listing& open);

/**
 * @brief Counts from the store when no owner can tell. Control thread only.
 *
 * One pool is counted at a time, all callers that wait for a pool share its count, and a count is used again
 * for a moment, so the cost does not grow with the callers.
 */
class PendingCounter : public std::enable_shared_from_this<PendingCounter> {
public:
    using CountResult = kernel::Expected<PendingView>;

    explicit PendingCounter(std::shared_ptr<const store::Store> store);

    /** @brief Counts the jobs of a pool that have not begun. */
    void count(const model::ServiceId& service, store::Callback<CountResult> callback);

private:
    struct Recent {
        const PendingView view;
        const kernel::Instant sent {};
    };

    void next();
    void finish(kernel::Instant sent, const CountResult& counted);

    const std::shared_ptr<const store::Store> store;
    std::map<model::ServiceId, Recent> recent {};
    std::map<model::ServiceId, std::vector<store::Callback<CountResult>>> waiting {};
    /** @brief Pools to be counted; the first is being counted. */
    std::deque<model::ServiceId> turns {};
};

} // namespace wasabiroad::agent
