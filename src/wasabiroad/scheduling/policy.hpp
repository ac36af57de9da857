#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstddef>

namespace wasabiroad::scheduling {

/** @brief Limits and time-outs of a pool scheduler. */
struct Policy {
    /** @brief Longest time, on the owner's clock, for which a task can run after the last call that may have
     * renewed its lease. */
    const kernel::Duration maxLeaseDuration { 6500 };
    /** @brief The same if another incarnation may have carried out the call than the one on whose clock the
     * end of the lease was computed: it may have granted the longest lease. */
    const kernel::Duration maxGrantedLease { 6500 };
    /** @brief Tasks of an upstream whose latest list is older count as unavailable: their lease may expire
     * soon. */
    const kernel::Duration taskListMaxAge { 2000 };
    /** @brief An upstream whose latest list is older counts as unresponsive; exceeds the longest wait for a
     * list. */
    const kernel::Duration taskListTimeout { 6000 };
    /** @brief A start that was neither answered nor listed by this time after its order counts as
     * unanswered. */
    const kernel::Duration startAnswerTimeout { 3000 };
    /** @brief Tasks of a previous owner that no upstream has listed by this time after the takeover are
     * considered lost. */
    const kernel::Duration takeoverTimeout { 11000 };
    /** @brief Time for tasks of an upstream in maintenance drain to end before they are stopped. */
    const kernel::Duration drainTimeout { 5000 };
    /** @brief A task without progress for longer is stopped and started elsewhere. */
    const kernel::Duration stallTimeout { 3000 };
    /** @brief A long-running task that is not ready by this time after its start is started elsewhere. */
    const kernel::Duration startupTimeout { 6000 };
    /** @brief Time for which a suspect upstream gets no new tasks; doubled each time it becomes suspect
     * again, up to a limit. */
    const kernel::Duration suspectDuration { 2000 };
    /** @brief Percentage of the members that may be suspect at once; when more fail tasks or reject starts,
     * upstreams are rarely the cause, and the others get tasks after Policy::refusalRetryDelay. */
    const std::size_t maxSuspectPercent { 50 };
    /** @brief Delay before the start of a task is retried after a start that failed. */
    const kernel::Duration refusalRetryDelay { 200 };
    /** @brief Time in ms after which an order without an answer is not carried out any more. */
    const kernel::Duration maxOrderDelay { 20000 };
    /** @brief Interval at which an unanswered stop order is repeated. */
    const kernel::Duration stopRetryInterval { 1000 };
    /** @brief Minimum interval between two increases of the pace of a filler task. */
    const kernel::Duration paceRaiseInterval { 1500 };

    /**
     * @brief Maximum number of unanswered starts of the pool; further tasks wait in order of rank.
     *
     * A start order is smaller than 1 KB, so a 10 Mbit/s link sends this many within a quarter of the
     * time-out of an order.
     */
    const std::size_t maxStartsInFlight { 256 };
    /** @brief Maximum number of unanswered starts of one upstream, whose connection sends orders one at a
     * time. */
    const std::size_t maxStartsInFlightPerUpstream { 16 };

    /** @brief Maximum number of steps of one job, over its occurrences, that wait for room; further
     * occurrences that are due wait without using memory. One occurrence is always open. */
    const std::size_t maxWaitingStepsPerJob { 64 };

    friend auto operator<=>(const Policy&, const Policy&) = default;
};

} // namespace wasabiroad::scheduling
