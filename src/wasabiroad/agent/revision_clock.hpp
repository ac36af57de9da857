#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/store/store.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace wasabiroad::agent {

/**
 * @brief Bounds the age of what was read from the store, without comparing clocks of several VMs.
 *
 * An answer that names a revision shows that the store had at most this revision when the call was sent.
 * A view that holds all changes up to there misses only what came later.
 */
class RevisionClock {
public:
    /**
     * @brief Notes an answer of the store.
     * @param sent Boot clock at which the call was sent.
     * @param revision Revision of the store that the answer names.
     */
    void note(kernel::Instant sent, store::Revision revision);

    /**
     * @param upTo Revision up to which a view holds all changes.
     * @param now Boot clock.
     * @return Longest time for which changes can be missing from the view, or nothing when no answer tells.
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

/** @return An age for the log in ms, or "unknown". */
std::string ageText(std::optional<kernel::Duration> age);

/** @return The same calls; each answer that names a revision of the store is noted. */
store::Store trackRevisions(
    std::shared_ptr<const store::Store> store, std::shared_ptr<RevisionClock> revisions);

} // namespace wasabiroad::agent
