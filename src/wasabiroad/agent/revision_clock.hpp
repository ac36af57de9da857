#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/store/store.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace wasabiroad::agent {

/**
 * @brief Computes an upper bound for the age of data from the store without comparing clocks of several VMs.
 *
 * When a call is sent, the revision of the store is at most the one in the response. A view that includes all
 * changes up to that revision is therefore at most as old as the time since the call was sent.
 */
class RevisionClock {
public:
    /**
     * @brief Records a response of the store.
     * @param sent Boot clock time at which the call was sent.
     * @param revision Revision of the store in the response.
     */
    void recordResponse(kernel::Instant sent, store::Revision revision);

    /**
     * @param asOf Revision up to which a view includes all changes.
     * @param now Boot clock time.
     * @return Upper bound for the age of the view, or nothing when no recorded response gives one.
     */
    std::optional<kernel::Duration> ageOf(store::Revision asOf, kernel::Instant now) const;

private:
    struct Observation {
        kernel::Instant sent {};
        store::Revision revision {};
    };

    /** @brief Ascending by time and by revision. */
    std::deque<Observation> observations {};
};

/** @return The age in ms for logs, or "unknown". */
std::string ageText(std::optional<kernel::Duration> age);

/** @return A store that forwards all calls and records the revision of each response that has one. */
store::Store trackRevisions(std::shared_ptr<const store::Store> store, std::shared_ptr<RevisionClock> clock);

} // namespace wasabiroad::agent
